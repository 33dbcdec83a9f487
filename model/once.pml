/*
 * At-most-once claims of one idempotency key.
 *
 * CLAIMS attempts (calls of ClaimClient::claim, each at an instance of its own) claim the same
 * key, send their request by a gate, settle, and have their rows erased; one attempt more is
 * never delayed. Each write may be
 * refused by the table, may take effect and lose its answer, or may take effect at any later
 * moment or never; each read may fail. A process may be paused between any two steps, since
 * nothing forces it to go on.
 *
 * Bounds: CLAIMS attempts; TRIES writes, SENDS sends and LOOKS looks for a dead row an attempt;
 * one late write of each sort an attempt at a time; FAULTS writes in all whose answer is lost.
 *
 * Promises checked by the assertions in Gate and tellNotRun:
 *   at most once: the request runs at most once for as long as its row is kept
 *   not run: whoever was told "not run" has not run and will not
 */
#ifndef CLAIMS
#define CLAIMS 2
#endif
#ifndef TRIES
#define TRIES 2
#endif
#ifndef SENDS
#define SENDS 2
#endif
#ifndef LOOKS
#define LOOKS 1
#endif
#ifndef FAULTS
#define FAULTS 3
#endif

/* States of the row. */
#define ABSENT 0
#define CLAIMED 1
#define RELEASED 2
#define RAN 3

/*
 * Versions that a write expects. A table that never uses a version again is modelled by
 * whether the version that was read is still the current one. VERSIONS_RESTART is a table
 * whose versions start at 1 again after a row was erased; claims are not safe on it.
 */
#define NO_ROW 0
#define CURRENT 1
#define STALE 2

/*
 * Stages of the time of an attempt, by the clock of its claimer. A stage is entered when
 * somebody looks at the clock; nobody can tell whether it was entered before.
 */
#define NOT_STARTED 0
#define IN_WINDOW 1
#define WINDOW_OVER 2 /* sendBefore_ has passed. */
#define KEEP_OVER 3   /* The row may be erased. */

inline passTime()
{
    if
    :: time[i] == IN_WINDOW -> time[i] = WINDOW_OVER
    :: true
    fi
}

mtype = { applied, conflict, refused, lost };
mtype = { idle, inFlight, abandoned, shed, ran };

byte rowToken; /* 0 while the row is absent, else the number of the attempt and 1. */
byte rowState;
#ifdef VERSIONS_RESTART
byte rowVersion;
#define READ_VERSION rowVersion
#define HOLDS(wanted) (rowVersion == wanted)
#else
#define READ_VERSION CURRENT
#define HOLDS(wanted) ((wanted == NO_ROW && rowToken == 0) || wanted == CURRENT)
#endif

/* A write that was lost on its way and may still take effect. */
typedef LateWrite { bool isSet; byte wanted };
LateWrite lateClaim[CLAIMS], lateRelease[CLAIMS], lateErase[CLAIMS];
byte claimVersion[CLAIMS], eraseVersion[CLAIMS]; /* As read, to be expected by a write. */

byte time[CLAIMS];
mtype atGate[CLAIMS] = idle;
bool toldNotRun[CLAIMS], hasRun[CLAIMS];
byte faults;
byte runs; /* Since the key was last forgotten. */

#ifdef NO_CONDITION
#define CLAIM_CONDITION false
#else
#define CLAIM_CONDITION true
#endif
#ifdef RELEASE_WITHOUT_CONDITION
#define RELEASE_CONDITION false
#else
#define RELEASE_CONDITION true
#endif
#ifdef RELEASE_ERASES
#define RELEASED_ROW ABSENT
#else
#define RELEASED_ROW RELEASED
#endif

inline expire(version)
{
    if
    :: version == CURRENT -> version = STALE
    :: else
    fi
}

inline expireLate(late)
{
    if
    :: late.isSet && late.wanted == CURRENT -> late.isSet = false; late.wanted = NO_ROW
    :: else
    fi
}

/* Each write changes the version of the row. */
inline changeVersion()
{
#ifdef VERSIONS_RESTART
    rowVersion = (rowState == ABSENT -> 0 : rowVersion + 1)
#else
    for (k : 0 .. CLAIMS - 1) {
        expire(claimVersion[k]);
        expire(eraseVersion[k]);
        expireLate(lateClaim[k]);
        if
        :: RELEASE_CONDITION -> expireLate(lateRelease[k])
        :: else
        fi;
        expireLate(lateErase[k])
    }
    k = 0
#endif
}

/* Table::commit() of one conditional write, as the table does it. */
inline apply(condition, wantedVersion, newState)
{
    if
    :: (condition) && !HOLDS(wantedVersion) -> answer = conflict
    :: else ->
        answer = applied;
        if
        :: newState == ABSENT && rowToken == i + 1 && time[i] == KEEP_OVER ->
            runs = 0 /* A key whose time is over is forgotten, with what ran under it. */
        :: else
        fi;
        rowToken = (newState == ABSENT -> 0 : i + 1);
        rowState = newState;
        changeVersion()
    fi
}

/* Table::commit() with its faults. */
inline commit(condition, wantedVersion, newState, late)
{
    if
    :: true -> apply(condition, wantedVersion, newState)
    :: faults < FAULTS ->
        faults++;
        apply(condition, wantedVersion, newState);
        answer = lost
    :: faults < FAULTS && !late.isSet ->
        faults++;
        late.isSet = true;
        late.wanted = wantedVersion;
        answer = lost
    :: true -> answer = refused
    fi
}

inline tellNotRun()
{
    assert(!hasRun[i]);
    toldNotRun[i] = true
}

/* Nothing looks at these once an attempt has ended and nothing of it is at a gate. */
inline forget()
{
    toldNotRun[i] = false;
    hasRun[i] = false;
    time[i] = (time[i] == IN_WINDOW -> WINDOW_OVER : time[i])
}

#ifdef UPDATE_ANY_TOKEN
#define MAY_UPDATE (rowToken != 0)
#else
#define MAY_UPDATE (rowToken == i + 1)
#endif

/* ClaimRowUpdater: reads the row, compares its token, writes under the version it read. */
inline releaseRow()
{
    atomic {
        claimVersion[i] = NO_ROW;
        if
        :: MAY_UPDATE -> claimVersion[i] = READ_VERSION
        :: true
        fi
    }
    atomic {
        if
        :: claimVersion[i] != NO_ROW ->
            commit(RELEASE_CONDITION, claimVersion[i], RELEASED_ROW, lateRelease[i])
        :: else
        fi;
        claimVersion[i] = NO_ROW;
        answer = refused
    }
}

/* ClaimAttempt, then the sends under its grant, then ClaimClient::reportResult(). */
proctype Claim(byte i)
{
    byte tries, k;
    bool mayBeWritten;
    mtype answer = refused;

    /* All attempts are alike, so their order is fixed. */
    atomic {
        (i == 0 || time[i - 1] != NOT_STARTED) -> time[i] = IN_WINDOW
    }

writeRow:
    atomic {
        if
        :: tries == TRIES && mayBeWritten -> goto undecided
        :: tries == TRIES && !mayBeWritten -> goto storeUnavailable
        :: else -> tries++
        fi;
        commit(CLAIM_CONDITION, claimVersion[i], CLAIMED, lateClaim[i]);
        claimVersion[i] = NO_ROW;
        if
        :: answer == applied -> goto grant
        :: answer == conflict
        :: answer == refused && !mayBeWritten -> goto storeUnavailable
        :: answer == refused && mayBeWritten
        :: answer == lost ->
            mayBeWritten = true;
#ifdef GRANT_UNDECIDED
            goto grant
#endif
        fi
    }
/* readBack */
    atomic {
        if
        :: mayBeWritten -> goto undecided /* Reading failed, too. */
        :: !mayBeWritten -> goto alreadyClaimed /* Reading failed; some row was there. */
        :: rowToken == 0 -> goto writeRow
#ifdef NO_TOKEN_COMPARISON
        :: rowState == CLAIMED && mayBeWritten -> goto grant
#else
        :: rowToken == i + 1 -> goto grant
#endif
        :: rowToken != i + 1 && rowState == RELEASED ->
            claimVersion[i] = READ_VERSION;
            goto writeRow
#ifdef TAKE_OVER_BY_TIME
        :: rowToken != 0 && rowToken != i + 1 && rowState == CLAIMED ->
            claimVersion[i] = READ_VERSION;
            goto writeRow
#endif
        :: rowToken != 0 && rowToken != i + 1 && rowState != RELEASED -> goto alreadyClaimed
        fi
    }

grant:
    tries = 0;
send:
    atomic {
        mayBeWritten = false;
        answer = refused;
        passTime();
        if
#ifdef NO_PAUSE_RULE
        :: tries < SENDS
#else
        :: time[i] >= WINDOW_OVER -> goto notRun
        :: time[i] < WINDOW_OVER && tries < SENDS
#endif
        :: tries > 0 -> goto notRun
        fi;
        tries++;
        atGate[i] = inFlight
    }
    atomic {
        if
        :: atGate[i] == ran -> atGate[i] = idle; goto settleRan
        :: atGate[i] == shed -> atGate[i] = idle; goto send
        :: atGate[i] == inFlight -> atGate[i] = abandoned /* The link was lost. */
        :: atGate[i] == ran || atGate[i] == shed -> atGate[i] = idle /* The answer was lost. */
        fi;
#ifdef NOT_RUN_ON_LOST_ANSWER
        tellNotRun()
#endif
    }
#ifdef RELEASE_ON_UNKNOWN
    releaseRow();
#endif
    goto done;

settleRan:
    atomic {
        if
        :: rowToken == i + 1 -> rowState = RAN; changeVersion()
        :: true /* Best effort. */
        fi
    }
    goto done;

undecided:
notRun:
    /* ClaimClient::reportResult(), or scheduleRelease() after an undecided claim. */
    atomic { tellNotRun(); tries = 0; mayBeWritten = false; answer = refused }
release:
    releaseRow();
    atomic {
        if
        :: tries + 1 < LOOKS -> tries++; goto release
        :: true
        fi
    }

storeUnavailable:
alreadyClaimed:
done:
    atomic {
        tries = 0;
        mayBeWritten = false;
        answer = refused;
        if
        :: atGate[i] == idle -> forget()
        :: else
        fi
    }
}

/* ClaimClient::onTick(): erases the row after its time. */
proctype Erase(byte i)
{
    byte k;
    mtype answer = refused;

end:
    atomic {
        time[i] != NOT_STARTED && rowToken == i + 1 ->
        time[i] = KEEP_OVER;
        eraseVersion[i] = READ_VERSION
    }
    atomic {
        commit(true, eraseVersion[i], ABSENT, lateErase[i]);
        eraseVersion[i] = NO_ROW;
        answer = refused
    }
}

/* The gate that the request went to, and the backend server: it is run or shed. */
proctype Gate(byte i)
{
    mtype result = shed;
end:
    do
    :: atomic {
            (atGate[i] == inFlight || atGate[i] == abandoned) ->
            passTime();
            if
#if !defined(NO_GATE_CHECK) && !defined(NO_PAUSE_RULE)
            :: time[i] < WINDOW_OVER ->
#else
            :: true ->
#endif
                runs++;
                hasRun[i] = true;
                assert(runs <= 1);
                assert(!toldNotRun[i]);
                result = ran
            :: true -> result = shed
            fi;
            if
            :: atGate[i] == inFlight -> atGate[i] = result
            :: atGate[i] == abandoned -> atGate[i] = idle; forget()
            fi;
            result = shed
        }
    od
}

/* A claimer that nothing delays: as soon as the row is free it claims it and sends. */
active proctype PromptClaim()
{
    byte k;
end:
    atomic {
        (rowToken == 0 || rowState == RELEASED) ->
        rowToken = CLAIMS + 1;
        rowState = RAN;
        changeVersion();
        runs++;
        assert(runs <= 1)
    }
}

/* Writes that take effect late. */
proctype Late(byte i)
{
    byte k;
    mtype answer = refused;
end:
    do
    :: atomic {
            lateClaim[i].isSet ->
            lateClaim[i].isSet = false;
            apply(CLAIM_CONDITION, lateClaim[i].wanted, CLAIMED);
            lateClaim[i].wanted = NO_ROW;
            answer = refused
        }
    :: atomic {
            lateRelease[i].isSet ->
            lateRelease[i].isSet = false;
            apply(RELEASE_CONDITION, lateRelease[i].wanted, RELEASED_ROW);
            lateRelease[i].wanted = NO_ROW;
            answer = refused
        }
    :: atomic {
            lateErase[i].isSet ->
            lateErase[i].isSet = false;
            apply(true, lateErase[i].wanted, ABSENT);
            lateErase[i].wanted = NO_ROW;
            answer = refused
        }
    od
}

init
{
    byte i;
    atomic {
        for (i : 0 .. CLAIMS - 1) {
            run Claim(i);
            run Erase(i);
            run Gate(i);
            run Late(i)
        }
        i = 0
    }
}
