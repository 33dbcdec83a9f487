/*
 * Ejection of backend servers under a floor, by two deciders at the same moment.
 *
 * Both deciders hold the same service of SERVERS servers, of which SPARE may be out. Each reads
 * the ejection row (onRowRead), plans a next row from it (eject, readmitReady,
 * completeReadmissions, addWithdrawals) and writes it on condition of the version that it read.
 * Each write may be refused, may take effect and lose its answer, or may take effect at any
 * later moment or never; after each the row is read back. A gate per server acts on the row
 * that it has heard of, late. An operator drains one server; each decider hears of that late.
 *
 * Bounds: SERVERS of one slot each, WRITES that take effect.
 *
 * Promises checked:
 *   floor: after a write that ejects, no more than SPARE servers are ejected, being
 *     re-admitted, still ejected at their gates, or drained as far as the writer or the row knew
 *   in force: no more than SPARE servers are ejected at their gates, ever
 */
#ifndef SERVERS
#define SERVERS 2
#endif
#ifndef SPARE
#define SPARE 1
#endif
#ifndef WRITES
#define WRITES 5
#endif
#define DECIDERS 2

#define IN_SERVICE 0
#define EJECTED 1
#define READMITTING 2

typedef Row { byte phase[SERVERS], strikes[SERVERS]; bool isDrained[SERVERS]; byte version };
Row row;             /* In the table. */
#ifdef STALE_ROW
Row seen[DECIDERS];  /* As first read. */
#else
#define seen next
#endif
Row next[DECIDERS];  /* To be written; its version is the one expected. */
Row late[DECIDERS];  /* A write that may still take effect. */
bool isLate[DECIDERS];

/* Per decider and server: from which version on the phase READMITTING was seen, and whether
   the gate has confirmed since that it has that version in force, or a later, and serves. */
typedef Versions { byte server[SERVERS] };
Versions readmittingSince[DECIDERS], readmittingStrikes[DECIDERS];
typedef Flags { bool server[SERVERS] };
Flags isConfirmed[DECIDERS];

bool isDraining[SERVERS];                            /* By the operator's act. */
typedef Known { bool isDraining[SERVERS] };
Known known[DECIDERS];
byte gateVersion[SERVERS];
bool isEjectedAtGate[SERVERS];

#ifdef NO_CONDITION
#define CONDITION false
#else
#define CONDITION true
#endif

#ifdef NO_STRIKES
#define HAS_SAME_STRIKES(k) true
#else
#define HAS_SAME_STRIKES(k) (readmittingStrikes[i].server[k] == row.strikes[k])
#endif
#ifdef ANY_CONFIRMATION
#define CONFIRMS(s) true
#else
#define CONFIRMS(s) (gateVersion[s] + 1 >= readmittingSince[i].server[s])
#endif

inline copyRow(target, source)
{
    for (k : 0 .. SERVERS - 1) {
        target.phase[k] = source.phase[k];
        target.strikes[k] = source.strikes[k];
        target.isDrained[k] = source.isDrained[k]
    }
    target.version = source.version;
    k = 0
}

inline clearRow(target)
{
    for (k : 0 .. SERVERS - 1) {
        target.phase[k] = IN_SERVICE;
        target.strikes[k] = 0;
        target.isDrained[k] = false
    }
    target.version = 0;
    k = 0
}

/* The table's conditional write; the floor is checked at each that ejects. */
inline apply(new)
{
    out = 0;
    isEjecting = false;
    if
    :: CONDITION && row.version != new.version
    :: else ->
        for (k : 0 .. SERVERS - 1) {
            isEjecting = isEjecting || (new.phase[k] == EJECTED && row.phase[k] != EJECTED);
            isOut = new.phase[k] != IN_SERVICE || new.isDrained[k] || isEjectedAtGate[k];
            out = out + isOut;
            row.phase[k] = new.phase[k];
            row.strikes[k] = new.strikes[k];
            row.isDrained[k] = new.isDrained[k]
        }
        row.version++;
#ifndef NO_CONDITION
        /* What was written on condition of the row before has no effect any more. */
        clearRow(late[0]);
        clearRow(late[1]);
        isLate[0] = false;
        isLate[1] = false;
#endif
        assert(!isEjecting || out <= SPARE)
    fi;
    out = 0;
    k = 0;
    isOut = false;
    isEjecting = false
}

/* EjectionDecider */
proctype Decider(byte i)
{
    byte s, k, out;
    bool isEjecting, isOut, isSame;
end:
    do
    :: atomic { /* readBack, onRowRead */
            row.version < WRITES && next[i].version == 0 ->
#ifdef STALE_ROW
            /* The floor is computed from the row of before, the write made under the new version. */
            if
            :: seen[i].version == 0 -> copyRow(seen[i], row)
            :: else
            fi;
            copyRow(next[i], seen[i]);
#else
            copyRow(next[i], row);
#endif
            for (k : 0 .. SERVERS - 1) { /* trackPhases */
                isSame = HAS_SAME_STRIKES(k) && readmittingSince[i].server[k] > 0;
                if
                :: row.phase[k] == READMITTING && !isSame ->
                    readmittingSince[i].server[k] = row.version + 1;
                    readmittingStrikes[i].server[k] = row.strikes[k];
                    isConfirmed[i].server[k] = false
                :: row.phase[k] != READMITTING ->
                    readmittingSince[i].server[k] = 0;
                    readmittingStrikes[i].server[k] = 0;
                    isConfirmed[i].server[k] = false
                :: else
                fi
            }
            isSame = false;
            /* plan */
            next[i].version = row.version + 1; /* 0 stands for none. */
            for (k : 0 .. SERVERS - 1) {
#ifndef IGNORE_DRAINS
                /* addWithdrawals */
                next[i].isDrained[k] = next[i].isDrained[k] || known[i].isDraining[k];
#endif
                /* completeReadmissions */
                if
                :: next[i].phase[k] == READMITTING && isConfirmed[i].server[k] ->
                    next[i].phase[k] = IN_SERVICE
                :: else
                fi
            }
            k = 0;
            if
            :: true /* Nothing to eject or to re-admit. */
            :: true ->
                select(s : 0 .. SERVERS - 1);
                if
                :: next[i].phase[s] == EJECTED ->
                    /* readmitReady, readmitForFloor */
#ifdef NO_READMITTING
                    next[i].phase[s] = IN_SERVICE
#else
                    next[i].phase[s] = READMITTING
#endif
                :: next[i].phase[s] == IN_SERVICE && !next[i].isDrained[s] -> /* eject */
                    for (k : 0 .. SERVERS - 1) {
                        isOut = next[i].phase[k] != IN_SERVICE || next[i].isDrained[k];
                        out = out + isOut
                    }
                    k = 0;
                    if
                    :: out < SPARE ->
                        next[i].phase[s] = EJECTED;
                        next[i].strikes[s]++
                    :: else
                    fi;
                    out = 0;
                    isOut = false
                :: else
                fi
            fi;
            s = 0;
            /* What the writer knows is counted in what it plans. */
            for (k : 0 .. SERVERS - 1) {
                isOut = next[i].phase[k] != IN_SERVICE || next[i].isDrained[k];
                out = out + (isOut || known[i].isDraining[k]);
                isEjecting = isEjecting || (next[i].phase[k] == EJECTED && row.phase[k] != EJECTED)
            }
            assert(!isEjecting || out <= SPARE);
            out = 0;
            k = 0;
            isOut = false;
            isEjecting = false;
            /* A row that would not change is not written. */
            isSame = true;
            for (k : 0 .. SERVERS - 1) {
                isSame = isSame && next[i].phase[k] == row.phase[k];
                isSame = isSame && next[i].isDrained[k] == row.isDrained[k]
            }
            k = 0;
            if
            :: isSame -> clearRow(next[i])
            :: else
            fi;
            isSame = false
        }
    :: atomic { /* commit */
            next[i].version != 0 ->
            next[i].version--;
            if
            :: row.version < WRITES -> apply(next[i]) /* Whether or not the answer is lost. */
            :: !isLate[i] -> isLate[i] = true; copyRow(late[i], next[i])
            :: true /* Refused, or lost for good. */
            fi;
            clearRow(next[i])
        }
    :: atomic { /* A write that takes effect late. */
            isLate[i] && row.version < WRITES ->
            apply(late[i]);
            clearRow(late[i]);
            isLate[i] = false
        }
    :: atomic { /* setMembers */
            isDraining[0] && !known[i].isDraining[0] -> known[i].isDraining[0] = true
        }
    :: atomic { /* onReport */
            select(s : 0 .. SERVERS - 1);
            if
            :: !isEjectedAtGate[s] && readmittingSince[i].server[s] > 0 && CONFIRMS(s) ->
                isConfirmed[i].server[s] = true
            :: else
            fi;
            s = 0
        }
    od
}

/* GateEjections::onRowPushed(), onRowRead(): the version in force never falls. */
proctype Gate(byte s)
{
    byte k, out, toldVersion;
    bool isToldEjected;
end:
    do
    :: atomic { /* EjectionCallbacks::pushRow_, or a read; what is told may arrive late. */
            row.version > gateVersion[s] && toldVersion == 0 ->
            toldVersion = row.version;
            isToldEjected = (row.phase[s] == EJECTED)
        }
    :: atomic {
            toldVersion > 0 ->
            gateVersion[s] = toldVersion;
            isEjectedAtGate[s] = isToldEjected;
            toldVersion = 0;
            isToldEjected = false;
            for (k : 0 .. SERVERS - 1) {
                out = out + isEjectedAtGate[k]
            }
            assert(out <= SPARE);
            out = 0;
            k = 0
        }
    od
}

#ifndef NO_DRAIN
active proctype DrainingOperator()
{
end:
    isDraining[0] = true
}
#endif

init
{
    byte i;
    atomic {
        for (i : 0 .. DECIDERS - 1) {
            run Decider(i)
        }
        for (i : 0 .. SERVERS - 1) {
            run Gate(i)
        }
        i = 0
    }
}
