/*
 * An instance that follows two things in a store, servers and configuration, through an
 * outage in which the store answers nothing. Calls for the servers may go on to fail after it,
 * or fail without it.
 *
 * Time goes in ticks of 0.1 s. Each loop makes a call, which waits for a change and ends
 * with its wait, or with its timeout if the store was away meanwhile; after a failed call
 * it pauses, for a drawn time that may grow with the failures. A call after a failed one does not wait.
 * The first answer after a failure ends the call and the pause of the other loop. The outage begins at any time and has any
 * length up to MOST; the configuration changes in it, so the first call for it that is
 * begun after the outage brings the change at once, and nothing else changes.
 *
 * Checked: the change is known STABLE ticks after the outage, when bounds hold again.
 *
 * Mutants: -DWAIT_AFTER_FAILURE has calls after failed ones wait as long as others, as in
 * the incident; -DWAIT_FOR_SERVERS makes no call for the configuration while the calls for servers fail.
 * Variant: -DNO_RECOVERY leaves the other loop in its call and its pause. The bound holds without that too,
 * since each loop ends its own; it makes the usual time shorter.
 */
#define WAIT 21
#define SLACK 6
#define PROBE 8
#define MOST 60
#define STABLE 30
#define SERVERS 0
#define CONFIG 1

mtype = { calling, pausing, idle };

mtype does[2];
byte left[2];       /* ticks until the call or the pause ends */
byte last[2];       /* ticks until the call has its timeout */
bool hangs[2];      /* the store was away during the call */
bool failed[2];
byte pauses[2];     /* since the store last answered */
bool away = false;
bool broken;        /* calls for the servers fail, whatever the others do */
bool over = false;  /* the outage */
bool known = false; /* the change */
byte since = 0;     /* ticks since the end of the outage */
byte lasts = 0;
byte drawn;

inline call(l) {
  does[l] = calling;
  hangs[l] = away || l == SERVERS && broken;
  if
#ifdef WAIT_AFTER_FAILURE
  :: left[l] = WAIT; last[l] = WAIT + SLACK
#else
  :: failed[l] -> left[l] = 0; last[l] = PROBE
  :: !failed[l] -> left[l] = WAIT; last[l] = WAIT + SLACK
#endif
  fi;
  /* What changed already is told at once. */
  if
  :: l == CONFIG && over && !known -> left[l] = 0
  :: else -> skip
  fi
}

inline begin(l) {
#ifdef WAIT_FOR_SERVERS
  if
  :: l == CONFIG && failed[SERVERS] -> does[l] = idle
  :: else -> call(l)
  fi
#else
  call(l)
#endif
}

inline pause(l) {
  does[l] = pausing;
  pauses[l] = (pauses[l] < 4 -> pauses[l] + 1 : 4);
  if
  :: pauses[l] == 1 -> drawn = 1
  :: pauses[l] == 2 -> select(drawn : 1 .. 2)
  :: pauses[l] == 3 -> select(drawn : 2 .. 4)
  :: pauses[l] == 4 -> select(drawn : 4 .. 10)
  fi;
  left[l] = drawn;
  drawn = 0
}

inline answered(l, other) {
  pauses[l] = 0;
  if
  :: l == CONFIG && over -> known = true
  :: else -> skip
  fi;
  if
#ifndef NO_RECOVERY
  :: failed[l] -> failed[l] = false; begin(other)
#else
  :: failed[l] -> failed[l] = false
#endif
  :: else -> skip
  fi;
  begin(l)
}

inline step(l, other) {
  if
  :: does[l] == idle -> begin(l)
  :: does[l] == pausing && left[l] > 0 -> left[l]--
  :: does[l] == pausing && left[l] == 0 -> begin(l)
  :: does[l] == calling && !hangs[l] && left[l] == 0 -> answered(l, other)
  :: does[l] == calling && last[l] == 0 -> failed[l] = true; pause(l)
  :: does[l] == calling && last[l] > 0 && (hangs[l] || left[l] > 0) ->
     last[l]--;
     left[l] = (left[l] > 0 -> left[l] - 1 : 0)
  fi
}

init {
  atomic {
    if
    :: broken = true
    :: broken = false
    fi;
    call(SERVERS);
    call(CONFIG);
    /* The loops are anywhere in their calls. */
    select(drawn : 0 .. WAIT);
    left[SERVERS] = drawn;
    last[SERVERS] = drawn + SLACK;
    select(drawn : 0 .. WAIT);
    left[CONFIG] = drawn;
    last[CONFIG] = drawn + SLACK;
    drawn = 0
  };
  away = true;
  hangs[SERVERS] = true;
  hangs[CONFIG] = true;
  do
  :: atomic {
       if
       :: away && lasts < MOST -> lasts++
       :: away -> away = false; over = true
       :: over -> since++
       fi;
       step(SERVERS, CONFIG);
       step(CONFIG, SERVERS);
       assert(since < STABLE || known);
       if
       :: since == STABLE -> break
       :: else -> skip
       fi
     }
  od
}
