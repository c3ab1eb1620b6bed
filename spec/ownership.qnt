/// Shard ownership: session leases, grants, planned moves and changes of leader. Time is a global counter; delays and
/// frozen processes are modelled as the absence of steps. Checked by `npm run spec`; traces are replayed on the real
/// state machine by test/spec/ownership-traces.test.ts.
module ownership {
  pure val BACKENDS: Set[str] = Set("one", "two")
  pure val SHARDS: Set[int] = Set(0, 1)
  /// Duration of a lease, in ticks.
  pure val TERM: int = 3
  pure val NOBODY: str = ""

  type Renewal = { backend: str, session: int, sent: int }
  type Row = { owner: str, epoch: int, session: int, movingTo: str, moveId: int }

  /// The current tick, and the number of committed commands.
  var now: int
  var index: int
  /// Replicated state: shard rows and open sessions (0 for none).
  var rows: int -> Row
  var sessions: str -> int
  /// State of the leader: time at which each session was last renewed.
  var renewedAt: str -> int
  /// Messages in flight.
  var renewals: Set[Renewal]
  var answers: Set[Renewal]
  /// State of the agents: session, lease deadline, grants, and shards released for a move.
  var held: str -> int
  var deadline: str -> int
  var grants: str -> Set[{ shard: int, epoch: int }]
  var released: str -> Set[int]

  action init = all {
    now' = 0,
    index' = 0,
    rows' = SHARDS.mapBy(s => { owner: NOBODY, epoch: 0, session: 0, movingTo: NOBODY, moveId: 0 }),
    sessions' = BACKENDS.mapBy(b => 0),
    renewedAt' = BACKENDS.mapBy(b => 0),
    renewals' = Set(),
    answers' = Set(),
    held' = BACKENDS.mapBy(b => 0),
    deadline' = BACKENDS.mapBy(b => 0),
    grants' = BACKENDS.mapBy(b => Set()),
    released' = BACKENDS.mapBy(b => Set()),
  }

  action keepAgents = all { held' = held, deadline' = deadline, grants' = grants, released' = released }
  action keepMessages = all { renewals' = renewals, answers' = answers }
  action keepReplicated = all { index' = index, rows' = rows, sessions' = sessions }

  action tick = all {
    now' = now + 1,
    renewedAt' = renewedAt,
    keepReplicated, keepMessages, keepAgents,
  }

  /// An agent takes over its back end, which revokes all grants there, and opens a session, which closes its previous one.
  action openSession(b: str): bool = all {
    index' = index + 1,
    rows' = rows.keys().mapBy(s => freed(rows.get(s), b)),
    sessions' = sessions.set(b, index + 1),
    renewedAt' = renewedAt.set(b, now),
    held' = held.set(b, index + 1),
    deadline' = deadline.set(b, now + TERM),
    grants' = grants.set(b, Set()),
    released' = released.set(b, Set()),
    now' = now,
    keepMessages,
  }

  /// Returns a row after the session of `b` has ended.
  pure def freed(row: Row, b: str): Row =
    if (row.owner == b) { ...row, owner: NOBODY, session: 0, movingTo: NOBODY, moveId: 0 }
    else if (row.movingTo == b) { ...row, movingTo: NOBODY, moveId: 0 }
    else row

  action sendRenewal(b: str): bool = all {
    held.get(b) > 0,
    renewals' = renewals.union(Set({ backend: b, session: held.get(b), sent: now })),
    answers' = answers,
    now' = now, renewedAt' = renewedAt,
    keepReplicated, keepAgents,
  }

  /// The leader answers after a quorum has confirmed its leadership. A message may be delivered more than once.
  action takeRenewal: bool = {
    nondet r = renewals.oneOf()
    all {
      sessions.get(r.backend) == r.session,
      renewedAt' = renewedAt.set(r.backend, now),
      answers' = answers.union(Set(r)),
      renewals' = renewals,
      now' = now,
      keepReplicated, keepAgents,
    }
  }

  /// The session holder computes its deadline from the send time of the renewal.
  action takeAnswer: bool = {
    nondet r = answers.oneOf()
    all {
      held.get(r.backend) == r.session,
      deadline' = deadline.setBy(r.backend, old => if (r.sent + TERM > old) r.sent + TERM else old),
      held' = held, grants' = grants, released' = released,
      now' = now, renewedAt' = renewedAt,
      keepReplicated, keepMessages,
    }
  }

  /// A new leader has no record of renewals, so it grants every session a full term.
  action changeLeader = all {
    renewedAt' = BACKENDS.mapBy(b => now),
    now' = now,
    keepReplicated, keepMessages, keepAgents,
  }

  action closeSession(b: str): bool = all {
    sessions.get(b) > 0,
    now > renewedAt.get(b) + TERM,
    index' = index + 1,
    rows' = rows.keys().mapBy(s => freed(rows.get(s), b)),
    sessions' = sessions.set(b, 0),
    now' = now, renewedAt' = renewedAt,
    keepMessages, keepAgents,
  }

  action assignShard(b: str, s: int): bool = all {
    rows.get(s).owner == NOBODY,
    sessions.get(b) > 0,
    index' = index + 1,
    rows' = rows.setBy(s, row => { ...row, owner: b, session: sessions.get(b), epoch: row.epoch + 1 }),
    sessions' = sessions,
    now' = now, renewedAt' = renewedAt,
    keepMessages, keepAgents,
  }

  /// The agent receives a row, after an arbitrary delay, and grants the shard.
  action install(b: str, s: int): bool = all {
    rows.get(s).owner == b,
    rows.get(s).session == held.get(b),
    not(released.get(b).contains(s)),
    grants' = grants.setBy(b, old =>
      old.filter(g => g.shard != s).union(Set({ shard: s, epoch: rows.get(s).epoch }))),
    held' = held, deadline' = deadline, released' = released,
    now' = now, renewedAt' = renewedAt,
    keepReplicated, keepMessages,
  }

  action beginMove(b: str, s: int): bool = all {
    rows.get(s).owner != NOBODY,
    rows.get(s).owner != b,
    rows.get(s).movingTo == NOBODY,
    sessions.get(b) > 0,
    index' = index + 1,
    rows' = rows.setBy(s, row => { ...row, movingTo: b, moveId: index + 1 }),
    sessions' = sessions,
    now' = now, renewedAt' = renewedAt,
    keepMessages, keepAgents,
  }

  /// The previous owner stops admitting requests.
  action release(s: int): bool = {
    val row = rows.get(s)
    all {
      row.movingTo != NOBODY,
      held.get(row.owner) == row.session,
      grants' = grants.setBy(row.owner, old => old.filter(g => g.shard != s)),
      released' = released.setBy(row.owner, old => old.union(Set(s))),
      held' = held, deadline' = deadline,
      now' = now, renewedAt' = renewedAt,
      keepReplicated, keepMessages,
    }
  }

  /// Control receives the report of the release and changes the owner.
  action completeMove(s: int): bool = {
    val row = rows.get(s)
    all {
      row.movingTo != NOBODY,
      released.get(row.owner).contains(s),
      held.get(row.owner) == row.session,
      sessions.get(row.movingTo) > 0,
      index' = index + 1,
      rows' = rows.set(s, {
        owner: row.movingTo, epoch: row.epoch + 1, session: sessions.get(row.movingTo),
        movingTo: NOBODY, moveId: 0 }),
      sessions' = sessions,
      released' = released.setBy(row.owner, old => old.exclude(Set(s))),
      held' = held, deadline' = deadline, grants' = grants,
      now' = now, renewedAt' = renewedAt,
      keepMessages,
    }
  }

  action step = {
    nondet b = BACKENDS.oneOf()
    nondet s = SHARDS.oneOf()
    any {
      tick,
      openSession(b),
      sendRenewal(b),
      takeRenewal,
      takeAnswer,
      changeLeader,
      closeSession(b),
      assignShard(b, s),
      install(b, s),
      beginMove(b, s),
      release(s),
      completeMove(s),
    }
  }

  def serves(b: str, s: int): bool = and {
    now < deadline.get(b),
    grants.get(b).exists(g => g.shard == s),
  }

  /// At most one back end serves a shard at any time.
  val oneOwner = SHARDS.forall(s => BACKENDS.filter(b => serves(b, s)).size() <= 1)

  /// A back end that serves a shard does so under the latest epoch of its row; the row may already be unowned.
  val newestEpoch = BACKENDS.forall(b => grants.get(b).forall(g =>
    serves(b, g.shard) implies g.epoch == rows.get(g.shard).epoch))

  val safe = oneOwner and newestEpoch
}
