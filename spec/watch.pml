/*
 * The list of backend servers on its way from the instances that watch the store to
 * one that does not.
 *
 * The store's revision rises with every change: of one of two servers, or of something
 * else. Two instances watch from revisions of their own, each as often as it likes, and
 * may start again with a state that is some revisions old. They pass on what changed
 * between two revisions; messages are lost and overtake each other. A follower takes
 * changes over only if they follow on what it holds, by revision or by content, and
 * takes the whole list of a watching instance otherwise.
 *
 * Checked: what the follower holds is always the list at the revision that it names,
 * so no change is ever left out, and that revision never goes back.
 *
 * Mutants: -DIGNORE_GAPS takes over changes that do not follow; -DANY_ORDER takes over
 * older ones.
 *
 * Bounds: MAXV revisions, one restart of each watching instance, MAIL messages on the way.
 */
#define MAXV 3
#define MAIL 2

byte revision = 0;        /* of the store */
byte first[MAXV + 1];     /* revision of the last change of each server, */
byte second[MAXV + 1];    /* as of each revision of the store */
byte at[2];               /* up to which each watching instance knows the list */
bool restarted[2];
chan mail = [MAIL] of { byte, byte };

byte have = 0;            /* the follower's revision and what it holds */
byte have1 = 0;
byte have2 = 0;

proctype Store() {
  do
  :: revision == MAXV -> break
  :: revision < MAXV ->
     atomic {
       first[revision + 1] = first[revision];
       second[revision + 1] = second[revision];
       if
       :: first[revision + 1] = revision + 1
       :: second[revision + 1] = revision + 1
       :: skip /* something else */
       fi;
       revision++
     }
  od
}

proctype Watch(byte me) {
  byte after;
  do
  :: at[me] == MAXV -> break
  :: at[me] < revision ->
     atomic {
       after = at[me];
       do
       :: at[me] < revision -> at[me]++
       :: at[me] > after -> break
       od;
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

/* take moves the follower to a revision by the changes since another one. */
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
#ifndef ANY_ORDER
       :: upto <= have -> skip
#endif
#ifndef IGNORE_GAPS
       :: upto > have && after > have && (have1 != first[after] || have2 != second[after]) -> skip /* asks for the whole */
       :: upto > have && !(after > have && (have1 != first[after] || have2 != second[after])) -> take(after, upto)
#else
       :: upto > have -> take(after, upto)
#endif
#ifdef ANY_ORDER
       :: upto <= have -> take(0, upto)
#endif
       fi;
       assert(have >= before);
       assert(have1 == first[have] && have2 == second[have]);
       after = 0; upto = 0; before = 0
     }
  :: atomic {
       at[0] > have -> take(0, at[0]);
       assert(have1 == first[have] && have2 == second[have])
     }
  :: atomic {
       at[1] > have -> take(0, at[1]);
       assert(have1 == first[have] && have2 == second[have])
     }
  od
}

init {
  atomic { run Store(); run Watch(0); run Watch(1); run Follower() }
}
