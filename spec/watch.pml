/*
 * The list of backend servers on its way from the instances that watch the store to
 * one that does not.
 *
 * The store goes through states. Most are changes of one of two servers, or of something
 * else, and raise its revision. Once it comes back from an older copy: the content and
 * the revision are those of an earlier state, and a new era begins, in which revisions are
 * given out again. Two instances watch from states of their own, each as often as it
 * likes, and may start again with a state that is some changes old. They pass on what
 * changed between two states of one era, or the whole list; messages are lost and
 * overtake each other. A follower takes changes over only if they follow on what it
 * holds, by era and revision or by content, and takes the whole list of a watching
 * instance otherwise.
 *
 * Checked: what the follower holds is always the list at the position that it names,
 * so no change is ever left out, and that position never goes back.
 *
 * Mutants: -DIGNORE_GAPS takes over changes that do not follow; -DANY_ORDER takes over
 * older ones; -DNO_ERA compares revisions alone.
 *
 * Bounds: MAXV states, one restart of each watching instance, MAIL messages on the way.
 */
#define MAXV 3
#define MAIL 2
#define WHOLE 15

byte state = 0;           /* of the store */
byte rev[MAXV + 1];       /* revision and era of each state */
byte era[MAXV + 1];
byte first[MAXV + 1];     /* state of the last change of each server, as of each state */
byte second[MAXV + 1];
byte at[2];               /* up to which each watching instance knows the list */
bool restarted[2];
chan mail = [MAIL] of { byte, byte };

byte have = 0;            /* the follower's state and what it holds */
byte have1 = 0;
byte have2 = 0;

/* A position is later by its era, then by its revision. */
#ifdef NO_ERA
#define LATER(a, b) (rev[a] > rev[b])
#define SAME_ERA(a, b) (true)
#else
#define LATER(a, b) (era[a] > era[b] || (era[a] == era[b] && rev[a] > rev[b]))
#define SAME_ERA(a, b) (era[a] == era[b])
#endif
#define SAME(a) (have1 == first[a] && have2 == second[a])

proctype Store() {
  byte copy;
  bool back = false;
  do
  :: state == MAXV -> break
  :: state < MAXV ->
     atomic {
       rev[state + 1] = rev[state] + 1;
       era[state + 1] = era[state];
       first[state + 1] = first[state];
       second[state + 1] = second[state];
       if
       :: first[state + 1] = state + 1
       :: second[state + 1] = state + 1
       :: skip /* something else */
       fi;
       state++
     }
  :: state < MAXV && state > 0 && !back ->
     atomic {
       back = true;
       copy = 0;
       do
       :: copy < state -> copy++
       :: break
       od;
       rev[state + 1] = rev[copy];
       era[state + 1] = era[state] + 1;
       first[state + 1] = first[copy];
       second[state + 1] = second[copy];
       state++;
       copy = 0
     }
  od
}

proctype Watch(byte me) {
  byte after;
  do
  :: at[me] == MAXV -> break
  :: at[me] < state ->
     atomic {
       after = at[me];
       do
       :: at[me] < state -> at[me]++
       :: at[me] > after -> break
       od;
       if
       :: era[after] != era[at[me]] -> after = WHOLE
       :: else -> skip
       fi;
       if
       :: nfull(mail) -> mail!after, at[me]
       :: skip /* lost */
       fi;
       after = 0
     }
  :: !restarted[me] && at[me] > 0 ->
     atomic {
       restarted[me] = true;
       do
       :: at[me] > 0 -> at[me]--
       :: break
       od
     }
  od
}

/* take moves the follower to a state by the changes since another one of its era. */
inline take(from, to) {
  if
  :: first[to] > from -> have1 = first[to]
  :: else -> skip
  fi;
  if
  :: second[to] > from -> have2 = second[to]
  :: else -> skip
  fi;
  have = to
}

inline takeWhole(to) {
  have1 = first[to];
  have2 = second[to];
  have = to
}

#define FOLLOWS(a, u) (SAME_ERA(have, u) && (!LATER(a, have) || SAME(a)))

proctype Follower() {
  byte after;
  byte upto;
  byte before;
  do
  :: have == MAXV -> break
  :: atomic {
       mail??after, upto;
       before = have;
       if
#ifdef ANY_ORDER
       :: !LATER(upto, have) && after != WHOLE -> take(after, upto)
#else
       :: !LATER(upto, have) -> skip
#endif
       :: LATER(upto, have) && after == WHOLE -> takeWhole(upto)
#ifdef IGNORE_GAPS
       :: LATER(upto, have) && after != WHOLE -> take(after, upto)
#else
       :: LATER(upto, have) && after != WHOLE && FOLLOWS(after, upto) -> take(after, upto)
       :: LATER(upto, have) && after != WHOLE && !FOLLOWS(after, upto) -> skip /* asks for the whole */
#endif
       fi;
       assert(have >= before);
       assert(SAME(have));
       after = 0; upto = 0; before = 0
     }
  :: atomic { LATER(at[0], have) -> takeWhole(at[0]); assert(SAME(have)) }
  :: atomic { LATER(at[1], have) -> takeWhole(at[1]); assert(SAME(have)) }
  od
}

init {
  atomic { run Store(); run Watch(0); run Watch(1); run Follower() }
}
