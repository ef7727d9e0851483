/*
 * Versions of the configuration.
 *
 * Two operators update the pointer by compare-and-set and read back their
 * write id after a lost reply. Two instances adopt versions from the store,
 * from stale reads of it and from each other, in any order, and may restart;
 * a restarted instance serves nothing until it has a version.
 *
 * Checked: an instance that serves never goes back to an older version, and
 * two operators are never both told that they made the same version.
 *
 * Mutants: -DADOPT_ANY takes whatever arrives; -DBLIND writes without the
 * condition.
 *
 * Bounds: versions up to MAXV, one restart for each instance.
 */
#define MAXV 3

byte current = 0;         /* version in the store */
byte author[6];           /* write id of each version */
byte have[2];             /* version in force at each instance, 0 for none */
byte told[2];             /* version that each operator was told last */
byte restarts[2];

proctype Operator(byte me) {
  byte base;
  byte mine;
  bool lost;
  do
  :: current >= MAXV -> break
  :: atomic { current < MAXV -> base = current; mine = 0 };
     atomic {
#ifdef BLIND
       current = base + 1; author[current] = me + 1; mine = current;
#else
       if
       :: current == base -> current++; author[current] = me + 1; mine = current
       :: else -> skip
       fi;
#endif
       if
       :: lost = true
       :: lost = false
       fi
     };
     atomic {
       if
       :: !lost && mine > 0 -> told[me] = mine
       :: lost && mine > 0 && author[mine] == me + 1 -> told[me] = mine /* read back */
       :: else -> skip
       fi;
       if
       :: told[0] > 0 && told[0] == told[1] -> assert(false)
       :: else -> skip
       fi;
       base = 0; mine = 0; lost = false
     }
  od
}

proctype Instance(byte me) {
  byte v;
  do
  :: have[me] == MAXV -> break
  :: current > 0 -> /* read the store, perhaps a stale replica, and adopt later */
     if
     :: v = current
     :: current > 1 -> v = current - 1
     fi;
     atomic {
#ifdef ADOPT_ANY
       if
       :: v < have[me] -> assert(false)
       :: else -> skip
       fi;
       have[me] = v;
#else
       if
       :: v > have[me] -> have[me] = v
       :: else -> skip
       fi;
#endif
       v = 0
     }
  :: have[1 - me] > 0 -> v = have[1 - me]; /* from the peer, delivered late */
     atomic {
#ifdef ADOPT_ANY
       if
       :: v < have[me] -> assert(false)
       :: else -> skip
       fi;
       have[me] = v;
#else
       if
       :: v > have[me] -> have[me] = v
       :: else -> skip
       fi;
#endif
       v = 0
     }
  :: restarts[me] < 1 -> atomic { restarts[me]++; have[me] = 0 } /* serves nothing now */
  od
}

init { atomic { run Operator(0); run Operator(1); run Instance(0); run Instance(1) } }
