/* At-most-once protocol of docs/design.md section 6.2, for one key.
 * Holders 0..2 each claim the key for one call (a resend is another call); node 3 only
 * reads and carries the table forward, or tells that the last usable carry was dropped
 * (lost table). The end of the unknown time is left out: the keys claimed before it have
 * expired by then, and the model has one key that never expires. The log may refuse, lose an answer, lose an append,
 * delay an effect, and drop old records. A pause is any delay between two steps. Done
 * records are left out: they change what a resend is told, not who may run.
 * Properties: the key is executed at most once; a call answered "not run" is never
 * executed; a voided call never holds the key once claim and void are read.
 */
#ifndef HOLDERS
#define HOLDERS 3
#endif
#define CARRIER HOLDERS
#define TABLES  (HOLDERS + 1)
#ifndef LOG
#define LOG     6
#endif
#ifndef FAULTS
#define FAULTS  1
#endif
#define NONE    7

#define CLAIM   1
#define VOID    2
#define CARRY   3
#define LOST    4

#define WON     1
#define DEAD    2

#define BIT(c)  (1 << (c))

/* The log. Records below `oldest` are dropped: no step reads them any more. */
byte kind[LOG]; byte who[LOG];
/* Content of the one carry or lost table. */
byte as_of; byte c_owner; byte c_spent; bool c_unknown;
byte last = 0;
byte oldest = 0;
byte faults = 0;
bool late_claim[HOLDERS];
bool late_void[HOLDERS];

/* One table for each node. */
byte first[TABLES]; byte next[TABLES]; bool complete[TABLES];
byte owner[TABLES]; byte spent[TABLES]; bool unknown[TABLES];

byte decided[HOLDERS];
bool appended[HOLDERS];
bool abandoned[HOLDERS];
bool dispatched[HOLDERS];
bool not_run[HOLDERS];
byte runs = 0;
byte started = 0;

inline store(k, w)
{
    kind[last] = k;
    who[last] = w;
    last++
}

inline apply(n, i)
{
    if
    :: kind[i] == CLAIM ->
        /* decide */
        if
        :: unknown[n] ->
            spent[n] = spent[n] | BIT(who[i]);
            if
            :: who[i] == n && decided[n] == 0 -> decided[n] = DEAD
            :: else
            fi
#ifndef MUTANT_VOID_ORDER
        :: !unknown[n] && (spent[n] & BIT(who[i])) != 0 -> skip
        :: !unknown[n] && (spent[n] & BIT(who[i])) == 0 && owner[n] == NONE ->
#else
        :: !unknown[n] && owner[n] == NONE ->
#endif
            owner[n] = who[i];
            if
            :: who[i] == n && decided[n] == 0 -> decided[n] = WON
            :: else
            fi
        :: !unknown[n] && owner[n] == who[i] -> skip
        :: else ->
            spent[n] = spent[n] | BIT(who[i]);
            if
            :: who[i] == n && decided[n] == 0 -> decided[n] = DEAD
            :: else
            fi
        fi
    :: kind[i] == VOID ->
        /* apply_void */
        if
#ifdef MUTANT_NO_VOID_CHECK
        :: owner[n] != NONE -> owner[n] = NONE
#else
        :: owner[n] == who[i] -> owner[n] = NONE
#endif
        :: else
        fi;
        spent[n] = spent[n] | BIT(who[i])
    :: kind[i] == LOST && as_of == i ->
        /* lose: readers that know the table too, so all agree */
        owner[n] = NONE;
        spent[n] = 0;
#ifndef MUTANT_NO_UNKNOWN_TIME
        unknown[n] = true
#endif
    :: else
    fi;
    assert(owner[n] == NONE || (spent[n] & BIT(owner[n])) == 0)
}

inline restart(n)
{
    first[n] = oldest;
    next[n] = oldest;
    owner[n] = NONE;
    spent[n] = 0;
    unknown[n] = false;
#ifdef MUTANT_INCOMPLETE_TABLE
    complete[n] = true
#else
    complete[n] = (oldest == 0)
#endif
}

/* Reads up to the end of the log in one step: a node that reads later, or that stops half-way
 * and finds records dropped, is in a state that this gives too.
 */
inline read_all(n)
{
    d_step {
        do
        :: next[n] == last -> break
        :: next[n] != last && next[n] < oldest -> restart(n)
        :: next[n] != last && next[n] >= oldest && complete[n] ->
            apply(n, next[n]);
            next[n]++
        :: next[n] != last && next[n] >= oldest && !complete[n] ->
            /* verify_carry: nothing from as_of on was dropped */
            if
#ifdef MUTANT_UNVERIFIED_CARRY
            :: kind[next[n]] == CARRY ->
#else
            :: kind[next[n]] == CARRY && as_of >= first[n] ->
#endif
                complete[n] = true;
                owner[n] = c_owner;
                spent[n] = c_spent;
                unknown[n] = c_unknown;
                i = as_of;
                if
                :: i < first[n] -> i = first[n]
                :: else
                fi;
                do
                :: i < next[n] -> apply(n, i); i++
                :: else -> break
                od
            /* a lost table counts only if no record came between as_of and it */
            :: kind[next[n]] == LOST && as_of == next[n] ->
                complete[n] = true;
                apply(n, next[n])
            :: else
            fi;
            next[n]++
        od;
        i = 0
    }
}

/* A table that nobody looks at any more is cleared: fewer states. */
inline forget(n)
{
    first[n] = 0; next[n] = 0; complete[n] = false;
    owner[n] = 0; spent[n] = 0; unknown[n] = false
}

/* Same for what is known of a call that cannot be dispatched any more. */
inline forget_call(n)
{
    decided[n] = 0; appended[n] = false; abandoned[n] = false;
    dispatched[n] = false; not_run[n] = false
}

proctype holder(byte n)
{
    byte i = 0;
    /* catch_up: no claim without a complete table; a node may start late. The holders are
     * alike, so only one order of their starts is searched. A holder that the log refuses
     * leaves no trace: it is one that stops here or before append_claim.
     */
    atomic { started == n -> started++; restart(n); read_all(n) };
    do
    :: complete[n] -> break
    :: !complete[n] && next[n] < last -> atomic { read_all(n) }
    od;
    if
    :: unknown[n] -> goto leave
    :: else
    fi;
    /* append_claim: once only. A lost answer changes nothing, as the answer is not used;
     * a lost append is an effect that is delayed for ever.
     */
    if
    :: d_step { last < LOG -> store(CLAIM, n); appended[n] = true;
#ifdef MUTANT_NO_READ_BACK
        decided[n] = WON
#endif
       }
    :: d_step { faults < FAULTS -> faults++; late_claim[n] = true; appended[n] = true }
    fi;
    /* read_back: only the own record in the log decides */
    do
    :: decided[n] != 0 -> break
    :: decided[n] == 0 && next[n] < last -> atomic { read_all(n) }
    :: abandoned[n] -> goto give_up
    od;
    if
    :: decided[n] == DEAD -> goto leave
    :: else
    fi;
    /* dispatch: the check and the step are one */
    if
#ifdef MUTANT_DISPATCH_AFTER_ABANDON
    :: d_step { true ->
#else
    :: d_step { !abandoned[n] ->
#endif
        dispatched[n] = true;
        runs++;
        assert(runs <= 1);
        assert(!not_run[n])
       };
#ifdef MUTANT_RELEASE_AFTER_SEND
       goto release
#else
       goto leave
#endif
    /* release: confirmed, but the node knows that nothing was sent and nothing will be, as
     * when the backend server refuses the connection. The caller is told "not run".
     */
    :: d_step { !abandoned[n] -> dispatched[n] = true }; goto release
    :: abandoned[n] -> goto give_up
    fi;
release:
give_up:
    /* void until that succeeds */
    atomic { forget(n); forget_call(n) };
    do
    :: d_step { last < LOG -> store(VOID, n) }; goto done
    :: d_step { last < LOG && faults < FAULTS -> faults++; store(VOID, n) }
    :: d_step { faults < FAULTS -> faults++; late_void[n] = true }
    :: last == LOG -> goto done /* bound of the model */
    od;
leave:
    atomic { forget(n); forget_call(n) };
done:
    skip
}

proctype carrier()
{
    byte i = 0;
    byte at; byte the_owner; byte the_spent; bool the_unknown; bool lost;
    atomic { restart(CARRIER); read_all(CARRIER) };
    if
    :: d_step {
        complete[CARRIER] ->
        at = next[CARRIER];
        the_owner = owner[CARRIER];
        the_spent = spent[CARRIER];
        the_unknown = unknown[CARRIER];
        forget(CARRIER)
       }
    :: d_step { !complete[CARRIER] -> at = next[CARRIER]; lost = true; forget(CARRIER) }
    fi;
    /* The append may come late, after many other records. */
    d_step {
        last < LOG ->
        as_of = at;
        c_owner = the_owner;
        c_spent = the_spent;
        c_unknown = the_unknown;
        if
        :: lost -> store(LOST, CARRIER)
        :: else -> store(CARRY, CARRIER)
        fi;
        at = 0; the_owner = 0; the_spent = 0; the_unknown = false; lost = false
    }
}

/* The caller's time ends or its connection closes, at any moment after the append. */
#define GIVE_UP(n) d_step { appended[n] && !dispatched[n] && decided[n] != DEAD && !abandoned[n] -> abandoned[n] = true; not_run[n] = true }

/* The delayed effect of an append whose sender got no answer. */
#define LATE_CLAIM(n) d_step { late_claim[n] && last < LOG -> late_claim[n] = false; store(CLAIM, n) }
#define LATE_VOID(n) d_step { late_void[n] && last < LOG -> late_void[n] = false; store(VOID, n) }

proctype environment()
{
    do
    :: GIVE_UP(0)
    :: GIVE_UP(1)
    :: LATE_CLAIM(0)
    :: LATE_CLAIM(1)
    :: LATE_VOID(0)
    :: LATE_VOID(1)
#if HOLDERS > 2
    :: GIVE_UP(2)
    :: LATE_CLAIM(2)
    :: LATE_VOID(2)
#endif
#ifndef NO_RETENTION
    :: d_step { oldest < last -> oldest++ }
#endif
    od
}

init
{
    atomic {
        run environment();
#ifndef NO_RETENTION
        run carrier();
#endif
        run holder(0);
        run holder(1);
#if HOLDERS > 2
        run holder(2)
#endif
    }
}
