/*
 * The head of the rules: two operators publish, an instance adopts.
 *
 * Each operator looks at the head (readHead), publishes the next version under a token of its
 * own (PublishAttempt: readBase, commit, readBack, readHistory) and is told what became of it;
 * then once more. An instance hears of heads of any age and adopts higher ones
 * only. Each commit may be refused, may take effect and lose its answer, or
 * may take effect at any later moment or never; each read may fail.
 *
 * Bounds: 2 operators, ROUNDS publications each, TRIES commits a publication,
 * one instance that restarts once.
 *
 * Promises checked:
 *   one chain: the version of the head only rises, by one, and a version has one content
 *   told truly: "published" is in the chain; "not published" is not and never will be
 *   no reversal: the adopted version of an instance never falls, and has the chain's content
 */
#ifndef ROUNDS
#define ROUNDS 2
#endif
#ifndef TRIES
#define TRIES 2
#endif
#define OPERATORS 2
#define PUBLICATIONS (OPERATORS * ROUNDS)

mtype = { applied, conflict, refused, lost };

byte headVersion, headToken;
byte history[PUBLICATIONS + 1]; /* The token of each version; 0 while it is not written. */
typedef LateCommit { bool isSet; byte expected, version, token };
LateCommit late[OPERATORS];
bool toldNotPublished[OPERATORS]; /* Of the write that may take effect late. */

#ifdef NO_CONDITION
#define CONDITION false
#else
#define CONDITION true
#endif

inline clearLate(k)
{
    late[k].isSet = false;
    late[k].expected = 0;
    late[k].version = 0;
    late[k].token = 0;
    toldNotPublished[k] = false
}

/*
 * The table's transaction of head and history row. The row version of the head is modelled by
 * the version of the rules, which rises with each write of the row.
 */
inline apply(expectedVersion, newVersion, newToken)
{
    if
    :: CONDITION && (headVersion != expectedVersion || history[newVersion] != 0) ->
        answer = conflict
    :: else ->
        answer = applied;
        assert(newVersion == headVersion + 1);
        assert(history[newVersion] == 0);
        headVersion = newVersion;
        headToken = newToken;
        history[newVersion] = newToken;
#ifndef NO_CONDITION
        /* What was written on condition of the head before has no effect any more. */
        clearLate(0);
        clearLate(1)
#endif
    fi
}

/* RulesStore::publish(), ROUNDS times. */
proctype Operator(byte i)
{
    byte round, tries, base, token;
    bool isUncertain;
    mtype answer = refused;

nextRound:
    atomic { /* readHead */
        tries = 0;
        isUncertain = false;
        answer = refused;
        if
        :: round == ROUNDS -> base = 0; token = 0; goto done
        :: else
        fi;
        base = headVersion;
        token = i * ROUNDS + round + 1;
        round++
    }
    atomic { /* readBase */
        if
        :: headVersion != base -> goto notPublished
        :: else
        fi
    }
commit:
    atomic {
        if
        :: tries == TRIES && isUncertain -> goto undecided
        :: tries == TRIES && !isUncertain -> goto notPublished
        :: else -> tries++
        fi;
        if
        :: true -> apply(base, base + 1, token)
        :: true -> apply(base, base + 1, token); answer = lost
        :: !late[i].isSet ->
            late[i].isSet = true;
            late[i].expected = base;
            late[i].version = base + 1;
            late[i].token = token;
            answer = lost
        :: true -> answer = refused
        fi;
        if
        :: answer == applied -> goto published
        :: answer == conflict
        :: answer == refused -> goto commit
        :: answer == lost ->
            isUncertain = true
#ifdef NOT_PUBLISHED_ON_LOST_ANSWER
            ;
            goto notPublished
#endif
        fi
    }
    atomic { /* readBack */
        if
        :: isUncertain -> goto undecided /* Reading failed as often as is tried. */
        :: headVersion == base -> goto commit
#ifdef NO_TOKEN_COMPARISON
        :: headVersion == base + 1 -> goto published
#else
        :: headVersion > base && headToken == token -> goto published
#endif
        :: headVersion > base && headToken != token
        fi
    }
    atomic { /* readHistory */
#ifdef NO_HISTORY
        goto notPublished;
#endif
        if
        :: history[base + 1] == token -> goto published
        :: history[base + 1] != token -> goto notPublished
        fi
    }

published:
    atomic { assert(history[base + 1] == token); goto nextRound }
notPublished:
    atomic {
        assert(history[base + 1] != token);
        toldNotPublished[i] = toldNotPublished[i] || (late[i].isSet && late[i].token == token);
        goto nextRound
    }
undecided:
    goto nextRound;
done:
    skip
}

/*
 * RulesKeeper of an instance. What it hears, from the table or from a peer that adopted before
 * it, is some head of the chain, of any age.
 */
active proctype Instance()
{
    byte version, adoptedVersion, adoptedToken;
    bool hasRestarted;
end:
    do
    :: atomic { /* takeTableHead, takeAnswer, adopt */
            headVersion > 0 ->
            select(version : 1 .. PUBLICATIONS);
            if
#ifdef ADOPT_ANY
            :: history[version] > 0 && version != adoptedVersion ->
#else
            :: history[version] > 0 && version > adoptedVersion ->
#endif
                assert(version > adoptedVersion);
                adoptedVersion = version;
                adoptedToken = history[version]
            :: else
            fi;
            version = 0
        }
    :: atomic { adoptedVersion > 0 -> assert(history[adoptedVersion] == adoptedToken) }
    :: atomic {
            !hasRestarted && adoptedVersion > 0 ->
            hasRestarted = true;
            adoptedVersion = 0;
            adoptedToken = 0
        }
    od
}

/* A commit that takes effect late. */
proctype Late(byte i)
{
    mtype answer = refused;
    bool told;
end:
    do
    :: atomic {
            late[i].isSet ->
            told = toldNotPublished[i];
            apply(late[i].expected, late[i].version, late[i].token);
            assert(answer == conflict || !told);
            clearLate(i);
            told = false;
            answer = refused
        }
    od
}

init
{
    byte i;
    atomic {
        for (i : 0 .. OPERATORS - 1) {
            run Operator(i);
            run Late(i)
        }
        i = 0
    }
}
