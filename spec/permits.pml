/*
 * The permits of a server that has named a limit.
 *
 * All instances that see each other take the first of them, in an order that
 * the key gives, for the owner; it alone gives out permits. Time is a counter.
 * Instances are killed, started, and cut off. An instance notices after DMIN to
 * DETECT units that another is out of reach, and up to DISCOVER units late that
 * it is back. It knows the size of the fleet by those that it has seen since its
 * start, and the names of all from the store's list.
 *
 * An instance gives out nothing
 *   - for HANDOVER units after its start, after it has heard from each of the
 *     list, after it became the owner, and after it saw more than half of all
 *     again;
 *   - while it sees no more than half of all, or has not heard from each of
 *     the list (both end after a time that is longer than a run here).
 *
 * Checked: no two instances give out permits of one share at a time, and none
 * is lost for good: some units after the last trouble one instance gives.
 *
 * Mutants: -DNO_HANDOVER lets a new owner give at once, -DNO_MINORITY lets any
 * side of a cut give, -DNO_LIST lets a new process take those that it has seen
 * for all, -DNO_SETTLE lets it give as soon as it has heard from all, and
 * -DNO_RETURN lets an owner give at once when it is back among more than half.
 *
 * Bounds: 3 instances, TROUBLES kills, starts, and cuts of one from the others.
 */
#define N        3
#define DMIN     1
#define DETECT   2
#define DISCOVER 1
#define HANDOVER 3
#ifndef TROUBLES
#define TROUBLES 3
#endif
#define CALM     (DISCOVER + DETECT + HANDOVER + 1)

byte troubles = 0;
byte calm = 0;             /* units since the last trouble, with all in touch */

bool up[N];
byte alone = N;            /* the instance that is cut off, N for none */
byte age[N];               /* units since the start */
byte owned[N];             /* units since it became the owner, in its own view */
byte among[N];             /* units since it saw more than half of all */
byte complete[N];          /* units since it has heard from each of the list */
bool insight[9];           /* I * N + J: I has J in sight */
bool met[9];               /* I has seen J since its start */
byte apart[9];             /* units for which J is out of reach of I */
byte near[9];              /* units for which J is in reach of I */
bool wasowner[N];
bool wasminority[N];
bool waslisted[N];

#define IN_REACH(i, j) (up[i] && up[j] && alone != i && alone != j)
#define SIZE(i)  (1 + met[(i)*N + ((i)+1)%N] + met[(i)*N + ((i)+2)%N])
#define SEES(i)  (1 + insight[(i)*N + ((i)+1)%N] + insight[(i)*N + ((i)+2)%N])
#define LISTED(i) (met[(i)*N + ((i)+1)%N] && met[(i)*N + ((i)+2)%N])
/* The key's order is that of the numbers. */
#define OWNER(i) (!(i > 0 && insight[(i)*N]) && !(i > 1 && insight[(i)*N + 1]))
#define MINORITY(i) (2 * SEES(i) <= SIZE(i))

#ifdef NO_HANDOVER
#define WAITED(i) (age[i] >= HANDOVER)
#else
#define WAITED(i) (age[i] >= HANDOVER && owned[i] >= HANDOVER)
#endif
#ifdef NO_RETURN
#define BACK(i) (true)
#else
#define BACK(i) (among[i] >= HANDOVER)
#endif
#ifdef NO_MINORITY
#define ENOUGH(i) (true)
#else
#define ENOUGH(i) (!MINORITY(i) && BACK(i))
#endif
#ifdef NO_SETTLE
#define KNOWN(i) (true)
#else
#define KNOWN(i) (complete[i] >= HANDOVER)
#endif
#ifdef NO_LIST
#define COMPLETE(i) (true)
#else
#define COMPLETE(i) (LISTED(i) && KNOWN(i))
#endif
#define GIVES(i) (up[i] && OWNER(i) && WAITED(i) && ENOUGH(i) && COMPLETE(i))

inline older(x) { if :: x < HANDOVER -> x++ :: else fi }

/* look updates what I knows of J after a unit of time. */
inline look(i, j) {
  if
  :: up[i] && IN_REACH(i, j) ->
     apart[i*N + j] = 0;
     if
     :: insight[i*N + j] -> skip
     :: !insight[i*N + j] && near[i*N + j] < DISCOVER -> near[i*N + j]++
     :: !insight[i*N + j] -> insight[i*N + j] = true; met[i*N + j] = true; near[i*N + j] = 0
     fi
  :: up[i] && !IN_REACH(i, j) ->
     near[i*N + j] = 0;
     if
     :: insight[i*N + j] -> apart[i*N + j]++
     :: else -> skip
     fi;
     if
     :: insight[i*N + j] && apart[i*N + j] < DETECT -> skip
     :: insight[i*N + j] && apart[i*N + j] >= DMIN -> insight[i*N + j] = false; apart[i*N + j] = 0
     :: !insight[i*N + j] -> skip
     fi
  :: else -> skip
  fi
}

/* decide updates how long I has been the owner, and among more than half. */
inline decide(i) {
  if
  :: up[i] ->
     older(age[i]);
     if
     :: OWNER(i) && !wasowner[i] -> owned[i] = 0
     :: else -> older(owned[i])
     fi;
     if
     :: !MINORITY(i) && wasminority[i] -> among[i] = 0
     :: else -> older(among[i])
     fi;
     if
     :: LISTED(i) && waslisted[i] -> older(complete[i])
     :: else -> complete[i] = 0
     fi;
     waslisted[i] = LISTED(i);
     wasowner[i] = OWNER(i);
     wasminority[i] = MINORITY(i)
  :: else -> skip
  fi
}

inline start(i) {
  up[i] = true; age[i] = 0; complete[i] = 0; owned[i] = HANDOVER; among[i] = HANDOVER;
  wasowner[i] = true; wasminority[i] = false; waslisted[i] = false;
  insight[i*N] = false; insight[i*N+1] = false; insight[i*N+2] = false;
  met[i*N] = false; met[i*N+1] = false; met[i*N+2] = false;
  apart[i*N] = 0; apart[i*N+1] = 0; apart[i*N+2] = 0;
  near[i*N] = 0; near[i*N+1] = 0; near[i*N+2] = 0
}

init {
  byte i;
  d_step { start(0); start(1); start(2) }
  do
  :: atomic {
       /* Trouble, or none. */
       if
       :: troubles < TROUBLES ->
          troubles++; calm = 0;
          if :: i = 0 :: i = 1 :: i = 2 fi;
          if
          :: up[i] -> up[i] = false
          :: alone != i -> alone = i
          :: alone != N -> alone = N
          :: !up[i] -> start(i)
          fi
       :: skip
       fi;
       /* A unit of time. */
       look(0, 1); look(0, 2); look(1, 0); look(1, 2); look(2, 0); look(2, 1);
       decide(0); decide(1); decide(2);
       assert(GIVES(0) + GIVES(1) + GIVES(2) <= 1);
       if
       :: up[0] && up[1] && up[2] && alone == N ->
          if :: calm < CALM -> calm++ :: else fi
       :: else -> calm = 0
       fi;
       assert(calm < CALM || GIVES(0) + GIVES(1) + GIVES(2) == 1);
       i = 0
     }
  od
}
