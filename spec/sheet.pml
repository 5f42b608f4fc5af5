/* Acceptance of sheets of docs/design.md section 6.1.
 * Two operators race, each through a reader; answers may be lost, and an operator whose
 * answer was lost appends the same submit again. A carrier carries the sheet forward, at
 * any later time, while retention drops old records. Readers start afresh at any time and
 * take versions from each other. A submit carries only the difference from the content of its base
 * version; a reader without that content does not apply it. The content of a reader may be
 * damaged once.
 * Properties: the version in force of a reader never goes down; no two readers hold
 * different content for one version; a submit that its operator was told is accepted is the
 * content of that version for everyone, and replaced the version that its author saw.
 */
#ifndef LOG
#define LOG      5
#endif
#ifndef FAULTS
#define FAULTS   1
#endif
#define READERS  3
#define CARRIER  2
#define VERSIONS 8
#ifndef CARRIES
#define CARRIES  1
#endif

#ifndef DAMAGES
#define DAMAGES  0
#endif

/* Contents that no submit makes: not known, and the result of a difference from another base. */
#define UNKNOWN  9
#define WRONG    8

#define SUBMIT   1
#define CARRY    2

byte kind[LOG]; byte id[LOG]; byte base[LOG]; byte as_of[LOG];
byte from[LOG]; /* content that a submit is a difference from */
byte last = 0;
byte oldest = 0;
byte faults = 0;
byte damages = 0;
byte started = 0;

byte first[READERS]; byte next[READERS]; bool complete[READERS];
byte version[READERS]; byte content[READERS];
byte force_version[READERS]; byte force_content[READERS];

/* What any reader ever held for a version, and the submit whose operator was told that it
 * made this version; only for the properties.
 */
byte content_of[VERSIONS];
byte told[VERSIONS];

inline check(n)
{
    if
    :: version[n] != 0 && content[n] != UNKNOWN ->
        assert(content_of[version[n]] == 0 || content_of[version[n]] == content[n]);
        assert(told[version[n]] == 0 || told[version[n]] == content[n]);
        content_of[version[n]] = content[n]
    :: else
    fi
}

inline apply(n, i)
{
    if
    :: kind[i] == SUBMIT ->
        /* accept: log order alone decides */
        if
#ifdef MUTANT_NO_BASE_CHECK
        :: true ->
#else
        :: base[i] == version[n] ->
#endif
            assert(base[i] == version[n]);
            version[n]++;
            /* apply_difference: the version counts, a result without its base does not */
            if
            :: content[n] == from[i] -> content[n] = id[i]
#ifdef MUTANT_NO_HASH_CHECK
            :: else -> content[n] = WRONG
#else
            :: else -> content[n] = UNKNOWN
#endif
            fi;
            if
            :: id[i] == n + 1 -> told[version[n]] = id[i]
            :: else
            fi;
            check(n)
#ifndef MUTANT_NO_BASE_CHECK
        :: else
#endif
        fi
    :: kind[i] == CARRY && base[i] == version[n] && content[n] == UNKNOWN ->
        content[n] = id[i];
        check(n)
    :: else
    fi
}

inline restart(n)
{
    first[n] = oldest;
    next[n] = oldest;
    version[n] = 0;
    content[n] = 0;
    complete[n] = (oldest == 0)
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
            :: kind[next[n]] == CARRY && as_of[next[n]] >= first[n] ->
#endif
                complete[n] = true;
                version[n] = base[next[n]];
                content[n] = id[next[n]];
                check(n);
                i = as_of[next[n]];
                if
                :: i < first[n] -> i = first[n]
                :: else
                fi;
                do
                :: i < next[n] -> apply(n, i); i++
                :: else -> break
                od
            :: else
            fi;
            next[n]++
        od;
        i = 0
    }
}

/* adopt: the version in force never goes down */
inline adopt(n)
{
    d_step {
        if
        :: complete[n] && next[n] == last && next[n] >= oldest ->
            if
            :: version[n] > force_version[n] && content[n] != UNKNOWN ->
                force_version[n] = version[n];
                force_content[n] = content[n]
            :: else ->
                /* A reader at the end of the log knows the newest version. */
                assert(version[n] >= force_version[n])
            fi
        :: else
        fi
    }
}

inline adopt_from_peer(n, peer)
{
    d_step {
#ifdef MUTANT_NO_ADOPT_GUARD
        force_version[peer] != 0 ->
#else
        force_version[peer] > force_version[n] ->
#endif
        assert(force_version[peer] >= force_version[n]);
        force_version[n] = force_version[peer];
        force_content[n] = force_content[peer];
        if
        :: version[n] == force_version[n] && content[n] == UNKNOWN ->
            content[n] = force_content[n];
            check(n)
        :: else
        fi
    }
}

/* Reader n with the operator whose submit has the id n + 1. */
proctype reader_and_operator(byte n)
{
    byte i = 0;
    byte my_base = 0;
    byte my_from = 0;
    bool again = true;
    bool fresh = true;
    /* The readers are alike, so only one order of their starts is searched. */
    atomic { started == n -> started++; restart(n); read_all(n); adopt(n) };
    do
    :: next[n] < last -> atomic { read_all(n); adopt(n) }
#ifndef NO_PEERS
    :: adopt_from_peer(n, 1 - n)
#endif
    :: d_step { complete[n] && content[n] != UNKNOWN ->
                my_base = version[n]; my_from = content[n] }; break
    od;
    do
    /* retry_submit: the same id and base, so it counts once */
    :: d_step { again && last < LOG ->
                kind[last] = SUBMIT; id[last] = n + 1; base[last] = my_base;
                from[last] = my_from; last++;
                again = false;
#ifdef MUTANT_NO_READ_BACK
                told[my_base + 1] = n + 1
#endif
       }
    /* The answer is lost. */
    :: d_step { again && last < LOG && faults < FAULTS ->
                faults++;
                kind[last] = SUBMIT; id[last] = n + 1; base[last] = my_base;
                from[last] = my_from; last++ }
    :: next[n] < last -> atomic { read_all(n); adopt(n) }
#ifndef NO_PEERS
    :: adopt_from_peer(n, 1 - n)
#endif
    /* The content of the replayed table is damaged; the version in force is another copy. */
    :: d_step { !again && damages < DAMAGES && complete[n] && version[n] != 0 ->
                damages++;
                content[n] = WRONG }
    /* The process is replaced by a fresh one; its version in force is kept by a peer. */
    :: d_step { fresh && !again -> fresh = false; restart(n) }
    od
}

/* Carries the sheet forward; the append may come late. */
proctype carrier()
{
    byte i = 0;
    byte rounds = 0;
    byte at; byte the_version; byte the_content;
    do
    :: rounds < CARRIES ->
        atomic { restart(CARRIER); read_all(CARRIER) };
        d_step { complete[CARRIER] ->
                 rounds++;
                 at = next[CARRIER];
                 the_version = version[CARRIER];
                 the_content = content[CARRIER];
                 first[CARRIER] = 0; next[CARRIER] = 0; complete[CARRIER] = false;
                 version[CARRIER] = 0; content[CARRIER] = 0 };
        d_step { last < LOG ->
                 kind[last] = CARRY; as_of[last] = at; base[last] = the_version;
                 id[last] = the_content; last++;
                 at = 0; the_version = 0; the_content = 0 }
    :: else -> break
    od
}

proctype retention()
{
    do
    :: d_step { oldest < last -> oldest++ }
    od
}

init
{
    atomic {
#ifndef NO_RETENTION
        run retention();
        run carrier();
#endif
        run reader_and_operator(0);
        run reader_and_operator(1)
    }
}
