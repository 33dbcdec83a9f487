/*
 * At-most-once claims of a key that names its owner: no table.
 *
 * The key names one instance and its incarnation, the owner. CLAIMS attempts, each at an entry
 * instance of its own, ask the owner (KeyOwner::claim) for the right to send, send by a gate and
 * settle (KeyOwner::settle). The owner alone decides, from memory. Each message may be lost, may
 * arrive at any later moment, and may arrive twice. The owner may be restarted, may
 * forget keys whose time is over, and may be out of reach for any time. A process may be paused
 * between any two steps.
 *
 * Bounds: CLAIMS attempts and one more that nothing delays, ASKS questions under the same token and SENDS sends each, one restart.
 *
 * Promises checked: the request runs at most once, ever; whoever was told "not run" has not run
 * and will not.
 */
#ifndef CLAIMS
#define CLAIMS 2
#endif
#ifndef ASKS
#define ASKS 2
#endif
#ifndef SENDS
#define SENDS 2
#endif

#define FREE 0 /* Else the number of the attempt and 1. */

mtype = { silent, granted, refused, unknown };
mtype = { idle, inFlight, abandoned, shed, ran };

byte holder = FREE;
bool isRestarted; /* The key names the incarnation before. */
bool isExpired;   /* The owner has forgotten the key, and knows that it may have. */
bool isAsking[CLAIMS], isReleasing[CLAIMS];
bool isAskedTwice[CLAIMS], isReleasedTwice[CLAIMS];
mtype answer[CLAIMS] = silent;
mtype atGate[CLAIMS] = idle;
bool isStarted[CLAIMS], toldNotRun[CLAIMS], hasRun[CLAIMS];
byte runs;

inline tellNotRun()
{
    assert(!hasRun[i]);
    toldNotRun[i] = true
}

/* The entry instance of one attempt. */
proctype Entry(byte i)
{
    byte asks, sends;

    /* All attempts are alike, so their order is fixed. */
    atomic { (i == 0 || isStarted[i - 1]) -> isStarted[i] = true }
ask:
    atomic {
        if
        :: asks < ASKS -> asks++; isAsking[i] = true
        :: asks > 0 -> goto noAnswer
        fi
    }
    atomic {
        if
        :: answer[i] == granted -> answer[i] = silent; asks = 0; goto send
        :: answer[i] == refused || answer[i] == unknown -> answer[i] = silent; asks = 0; goto done
        :: true -> goto ask /* No answer in time, or the answer was lost. */
        fi
    }
noAnswer:
#ifdef RUN_WITHOUT_OWNER
    goto send;
#endif
    /* Not run by this attempt, whose token is dead; what others did is unknown. */
    atomic { tellNotRun(); asks = 0; isReleasing[i] = true }
    goto done;

send:
    atomic {
        if
        :: sends < SENDS -> sends++; atGate[i] = inFlight
        :: sends > 0 -> goto notRun
        fi
    }
    atomic {
        if
        :: atGate[i] == ran -> atGate[i] = idle; goto done
        :: atGate[i] == shed -> atGate[i] = idle; goto send
        :: atGate[i] == inFlight -> atGate[i] = abandoned
        :: atGate[i] == ran || atGate[i] == shed -> atGate[i] = idle
        fi;
#ifdef RELEASE_ON_UNKNOWN
        isReleasing[i] = true;
#endif
        goto done
    }
notRun:
    atomic { tellNotRun(); isReleasing[i] = true }
done:
    atomic { asks = 0; sends = 0 }
}

/* KeyOwner: takes the questions and releases of attempt i, whenever they arrive. */
proctype Owner(byte i)
{
end:
    do
    :: atomic { /* claim() */
            isAsking[i] ->
            if
            :: !isAskedTwice[i] -> isAskedTwice[i] = true
            :: isAsking[i] = false
            fi;
            if
#ifndef RESTART_SAYS_NOT_SEEN
            :: isRestarted -> answer[i] = unknown
#endif
#ifndef FORGET_WITHOUT_EXPIRY
            :: isExpired -> answer[i] = unknown
#endif
            :: else ->
                if
                :: holder == FREE -> holder = i + 1; answer[i] = granted
                :: holder == i + 1 -> answer[i] = granted /* Asked again under the same token. */
                :: holder != FREE && holder != i + 1 ->
#ifdef GRANT_TO_EACH_ASKER
                    answer[i] = granted
#else
                    answer[i] = refused
#endif
                fi
            fi
        }
    :: atomic { isAsking[i] -> isAsking[i] = false } /* The question is lost. */
    :: atomic { /* settle() as not run */
            isReleasing[i] ->
            if
            :: !isReleasedTwice[i] -> isReleasedTwice[i] = true
            :: isReleasing[i] = false
            fi;
            if
#ifdef RELEASE_ANY_TOKEN
            :: true -> holder = FREE
#else
            :: holder == i + 1 -> holder = FREE
#endif
            :: else
            fi
        }
    od
}

#ifdef RESTART_SAYS_NOT_SEEN
#define KNOWS_KEY (holder == FREE)
#else
#define KNOWS_KEY (holder == FREE && !isRestarted && !isExpired)
#endif

/* An attempt that nothing delays. */
active proctype PromptEntry()
{
end:
    atomic { KNOWS_KEY -> holder = CLAIMS + 1; runs++; assert(runs <= 1) }
}

active proctype Time()
{
end:
    do
    :: atomic { !isRestarted -> isRestarted = true; holder = FREE }
    :: atomic { !isExpired -> isExpired = true; holder = FREE }
    od
}

/* The gate that the request went to, and the backend server: it is run or shed. */
proctype Gate(byte i)
{
    mtype result = shed;
end:
    do
    :: atomic {
            (atGate[i] == inFlight || atGate[i] == abandoned) ->
            if
            :: true ->
                runs++;
                hasRun[i] = true;
                assert(runs <= 1);
                assert(!toldNotRun[i]);
                result = ran
            :: true -> result = shed
            fi;
            if
            :: atGate[i] == inFlight -> atGate[i] = result
            :: atGate[i] == abandoned -> atGate[i] = idle
            fi;
            result = shed
        }
    od
}

init
{
    byte i;
    atomic {
        for (i : 0 .. CLAIMS - 1) {
            run Entry(i);
            run Owner(i);
            run Gate(i)
        }
        i = 0
    }
}
