/** Retries, refusals and outcomes of a forwarded request. */
import test from 'ava';
import type { BackendInstance, RequestKind } from '../../src/directory/directory-state.js';
import type { LinkClient, RequestHandlers } from '../../src/link/link-client.js';
import type { RefusalReason, RequestHead } from '../../src/link/link-messages.js';
import type { BackendChooser, ChoiceRequest } from '../../src/sidecar/backend-chooser.js';
import type { BackendProber, ProbesDone } from '../../src/sidecar/backend-prober.js';
import { AnswerWindows } from '../../src/sidecar/answer-windows.js';
import { BackendView } from '../../src/sidecar/backend-view.js';
import type { UnansweredOutcome } from '../../src/sidecar/caller-request.js';
import { createForwarderCounters } from '../../src/sidecar/forwarder-counters.js';
import type { CallParent, EndedCall } from '../../src/sidecar/nested-calls.js';
import { ForwardedRequest } from '../../src/sidecar/request-forwarder.js';
import { Route } from '../../src/sidecar/route-table.js';
import { StatedLeaves } from '../../src/sidecar/stated-leaves.js';
import type { EventLog } from '../../src/telemetry/event-log.js';
import { NO_LATENCIES } from '../../src/telemetry/latencies.js';
import { ManualTime } from './manual-runtime.js';

type Reaction = (handlers: RequestHandlers) => void;

function refuse(reason: RefusalReason, arrived = false): Reaction {
  return (handlers) => {
    handlers.onRefusal({ reason, arrived, retryAfterMs: 0, status: null });
  };
}

const BROKEN: Reaction = (handlers) => {
  handlers.onFailure({ reason: 'broken', detail: '', status: null });
};
const LOST_AFTER_SENDING: Reaction = (handlers) => {
  handlers.onLost(true);
};
const LOST_BEFORE_SENDING: Reaction = (handlers) => {
  handlers.onLost(false);
};
const ANSWER: Reaction = (handlers) => {
  const head = {
    statusCode: 200,
    headers: [],
    moreFollows: false,
    framed: true,
    timing: { waitedMs: 0, backendMs: 0 },
    contentLength: 2,
    status: null,
  };
  handlers.onAnswer(head, Buffer.from('ok'));
};
const NO_REACTION: Reaction = () => undefined;

interface Outcome {
  readonly tried: string[];
  result: string;
  /** Tells that the rest of an answer beyond its deadline is of use to nobody; missing before its deadline. */
  expendable?: () => void;
  unanswered: UnansweredOutcome | null;
  cancelled: number;
  /** Log events written as failures or decisions, and those that are sampled. */
  readonly logged: string[];
  readonly sampled: string[];
  readonly heads: RequestHead[];
  readonly endedCalls: EndedCall[];
  readonly windows: AnswerWindows;
  /** Tells that the caller's connection has taken an answer, for each of them. */
  readonly takings: (() => void)[];
}

interface Setup {
  readonly kind?: RequestKind;
  readonly maxAttempts?: number;
  readonly mayRepeat?: boolean;
  readonly passMs?: number;
  /** Time in ms that the caller has spent on earlier attempts. */
  readonly spentMs?: number;
  readonly parent?: CallParent;
  /** Whether back ends have free slots and idle network links, as far as is known; 'maybe' if nothing is. */
  readonly hasRoomElsewhere?: 'yes' | 'maybe' | 'no';
  /** Whether further requests wait behind the answer on its connection. */
  readonly hasRequestsBehind?: boolean;
}

/** Forwards one request to back ends that react as scripted, one reaction per attempt. */
function forward(reactions: Record<string, Reaction[]>, setup: Setup = {}): Outcome {
  const {
    kind = 'safe',
    maxAttempts = 2,
    mayRepeat = true,
    passMs = 2_000,
    spentMs = 0,
    parent = null,
    hasRoomElsewhere = 'no',
    hasRequestsBehind = false,
  } = setup;
  const time = new ManualTime();
  const outcome: Outcome = {
    tried: [],
    result: '',
    unanswered: null,
    cancelled: 0,
    logged: [],
    sampled: [],
    heads: [],
    endedCalls: [],
    windows: new AnswerWindows(),
    takings: [],
  };
  const instances = Object.keys(reactions).map((id): BackendInstance => {
    return {
      id,
      service: 's',
      zone: 'z',
      daemonAddress: id,
      slots: 1,
      condition: 'ready',
      version: 'v1',
      session: 1,
    };
  });
  const chooser = {
    choose: ({ excluded }: ChoiceRequest) => instances.find(({ id }) => !excluded.has(id)) ?? null,
    nearCandidates: () => instances,
    farCandidates: () => [],
    hasCapacity: () => hasRoomElsewhere !== 'no',
    hasKnownCapacity: () => hasRoomElsewhere === 'yes',
    moveTargetOf: () => null,
  } as unknown as BackendChooser;
  const prober = {
    probe: (_candidates: unknown, done: ProbesDone) => {
      done(new Set());
      return () => undefined;
    },
    refresh: () => undefined,
  } as unknown as BackendProber;
  const linkTo = ({ id }: BackendInstance): LinkClient =>
    ({
      unreachable: false,
      request: (head: RequestHead, _body: unknown, handlers: RequestHandlers) => {
        outcome.tried.push(id);
        outcome.heads.push(head);
        const reaction = reactions[id]?.shift() ?? NO_REACTION;
        time.runtime.after(1, () => {
          reaction(handlers);
        });
        const withdraw = (): void => {
          const end = reactions[id]?.shift();
          if (end !== undefined) time.runtime.after(1, () => end(handlers));
        };
        return { cancel: () => (outcome.cancelled += 1), withdraw, grant: () => undefined };
      },
    }) as unknown as LinkClient;
  const definition = {
    host: 'h',
    pathPrefix: '/',
    kind,
    timeoutMs: 1_000,
    targetLatencyMs: 400,
    priority: 1,
    maxAttempts,
    destinations: [{ service: 's', weight: 1 }],
  };
  const log: EventLog = {
    event: (name) => outcome.logged.push(name),
    failure: (name) => outcome.logged.push(name),
    routine: (name) => outcome.sampled.push(name),
  };
  const request = new ForwardedRequest(
    {
      requestId: 'r',
      method: 'GET',
      path: '/',
      headers: [],
      body: Buffer.alloc(0),
      route: new Route('route', definition),
      service: 's',
      key: null,
      deadlineMs: 800,
      spentMs,
      arrivedMs: time.nowMs,
      parent,
    },
    {
      answer: (head, _body, onTaken) => {
        outcome.result = `answer ${head.statusCode}`;
        if (onTaken !== undefined) outcome.takings.push(onTaken);
      },
      body: () => undefined,
      end: () => (outcome.result = 'whole answer'),
      hasRequestsBehind: () => hasRequestsBehind,
      overdue: (onExpendable) => (outcome.expendable = onExpendable),
      abort: () => (outcome.result = 'broken off'),
      fail: (givenUp) => {
        outcome.result = givenUp.kind;
        outcome.unanswered = givenUp;
      },
    },
    {
      runtime: time.runtime,
      log,
      chooser,
      statedLeaves: new StatedLeaves({ runtime: time.runtime, log, drainMs: 2_000 }),
      prober,
      windows: outcome.windows,
      view: () => new BackendView(),
      linkTo,
      mayRepeat: () => true,
      takeRepeat: () => mayRepeat,
      tableIndex: () => 1,
      latencies: NO_LATENCIES,
      onCallEnded: (call) => outcome.endedCalls.push(call),
    },
    createForwarderCounters(),
  );
  request.start();
  time.pass(passMs);
  return outcome;
}

interface Case {
  readonly name: string;
  readonly reactions: Record<string, Reaction[]>;
  readonly setup?: Setup;
  readonly tried: string[];
  readonly result: string;
}

const NON_IDEMPOTENT: Setup = { kind: 'non-idempotent' };

const CASES: readonly Case[] = [
  { name: 'an answer', reactions: { a: [ANSWER] }, tried: ['a'], result: 'answer 200' },
  {
    name: 'a refusal by a sidecar needs no retry allowance: another back end is tried',
    reactions: { a: [refuse('busy')], b: [ANSWER] },
    setup: { mayRepeat: false, maxAttempts: 1, hasRoomElsewhere: 'yes' },
    tried: ['a', 'b'],
    result: 'answer 200',
  },
  {
    name: 'after one busy refusal no further back end is tried if the others are known to be full',
    reactions: { a: [refuse('busy')], b: [ANSWER] },
    setup: { passMs: 5 },
    tried: ['a'],
    result: 'not-run',
  },
  {
    name: 'after three busy refusals no further back end is tried, whatever is known of the others',
    reactions: { a: [refuse('busy')], b: [refuse('busy')], c: [refuse('busy')], d: [ANSWER] },
    setup: { passMs: 5, hasRoomElsewhere: 'yes' },
    tried: ['a', 'b', 'c'],
    result: 'not-run',
  },
  {
    name: 'refusals by leaving sidecars do not count as busy ones',
    reactions: { a: [refuse('busy')], b: [refuse('leaving')], c: [refuse('busy')], d: [ANSWER] },
    setup: { hasRoomElsewhere: 'yes' },
    tried: ['a', 'b', 'c', 'd'],
    result: 'answer 200',
  },
  {
    name: 'refusals because of request limits do not count as busy ones',
    reactions: {
      a: [refuse('rate-limited')],
      b: [refuse('rate-limited')],
      c: [refuse('rate-limited')],
      d: [ANSWER],
    },
    tried: ['a', 'b', 'c', 'd'],
    result: 'answer 200',
  },
  {
    name: 'with all back ends at their request limits the request ends at once as not run',
    reactions: { a: [refuse('rate-limited')], b: [refuse('rate-limited')] },
    setup: { passMs: 5 },
    tried: ['a', 'b'],
    result: 'not-run',
  },
  {
    name: 'with all back ends busy the request ends at once as not run',
    reactions: { a: [refuse('busy')], b: [refuse('busy')] },
    setup: { passMs: 5, hasRoomElsewhere: 'yes' },
    tried: ['a', 'b'],
    result: 'not-run',
  },
  {
    name: 'a refusal by the back end itself counts as an arrival, and is final without retry allowance',
    reactions: { a: [refuse('declined', true)], b: [ANSWER] },
    setup: { mayRepeat: false },
    tried: ['a'],
    result: 'not-run',
  },
  {
    name: 'a non-idempotent request is sent elsewhere after a refusal',
    reactions: { a: [refuse('leaving')], b: [ANSWER] },
    setup: NON_IDEMPOTENT,
    tried: ['a', 'b'],
    result: 'answer 200',
  },
  {
    name: 'a safe request is repeated elsewhere after a broken answer',
    reactions: { a: [BROKEN], b: [ANSWER] },
    tried: ['a', 'b'],
    result: 'answer 200',
  },
  {
    name: 'a request arrives at no more back ends than maxAttempts of its route',
    reactions: { a: [BROKEN], b: [BROKEN], c: [ANSWER] },
    tried: ['a', 'b'],
    result: 'unknown',
  },
  {
    name: 'without retry allowance a broken answer is final',
    reactions: { a: [BROKEN], b: [ANSWER] },
    setup: { mayRepeat: false },
    tried: ['a'],
    result: 'unknown',
  },
  {
    name: 'a non-idempotent request is not repeated after a broken answer',
    reactions: { a: [BROKEN], b: [ANSWER] },
    setup: NON_IDEMPOTENT,
    tried: ['a'],
    result: 'unknown',
  },
  {
    name: 'a non-idempotent request is not repeated after the connection was lost with the request sent',
    reactions: { a: [LOST_AFTER_SENDING], b: [ANSWER] },
    setup: NON_IDEMPOTENT,
    tried: ['a'],
    result: 'unknown',
  },
  {
    name: 'a non-idempotent request is sent elsewhere after the connection was lost before sending',
    reactions: { a: [LOST_BEFORE_SENDING], b: [ANSWER] },
    setup: NON_IDEMPOTENT,
    tried: ['a', 'b'],
    result: 'answer 200',
  },
  {
    name: 'a refusal after an attempt that may have run leaves the outcome unknown',
    reactions: { a: [BROKEN], b: [refuse('busy')] },
    tried: ['a', 'b'],
    result: 'unknown',
  },
];

for (const { name, reactions, setup, tried, result } of CASES) {
  test(name, (t) => {
    const outcome = forward(reactions, setup);
    t.deepEqual(outcome.tried, tried);
    t.is(outcome.result, result);
  });
}

test('at the deadline the attempt is cancelled and the outcome is unknown', (t) => {
  const outcome = forward({ a: [NO_REACTION] });
  t.like(outcome.unanswered, { kind: 'unknown', timedOut: true });
  t.is(outcome.cancelled, 1);
});

const ANSWER_HEAD = {
  statusCode: 200,
  headers: [],
  moreFollows: true,
  framed: true,
  timing: { waitedMs: 0, backendMs: 0 },
  contentLength: null,
  status: null,
};

test('the deadline does not break off an answer that has begun, which would reset requests behind it', (t) => {
  let begun: RequestHandlers | undefined;
  const begin: Reaction = (handlers) => {
    begun = handlers;
    handlers.onAnswer(ANSWER_HEAD, Buffer.from('ab'));
  };
  const atDeadline = forward({ a: [begin] }, { passMs: 900 });
  t.is(atDeadline.result, 'answer 200');
  t.is(atDeadline.cancelled, 0);
  begun?.onBody(Buffer.from('cd'));
  begun?.onEnd();
  t.is(atDeadline.result, 'whole answer');
  const unfinished = forward({ a: [begin] }, { passMs: 60_000 });
  t.is(unfinished.result, 'answer 200');
  t.is(unfinished.cancelled, 0);
  unfinished.expendable?.();
  t.is(unfinished.result, 'broken off');
  t.is(unfinished.cancelled, 1);
  t.deepEqual(unfinished.logged, ['answer-broken-off']);
});

const PARTS_HEAD = { ...ANSWER_HEAD, contentLength: 100_000, endsWithLength: true } as const;
const HALF = Buffer.alloc(50_000);

/** Half of an answer of a stated length, then what ends it. */
function halfThen(end: Reaction): Reaction {
  return (handlers) => {
    handlers.onAnswer(PARTS_HEAD, HALF);
    end(handlers);
  };
}

const SECOND_HALF: Reaction = (handlers) => {
  handlers.onBody(HALF);
  handlers.onEnd();
};

const STORED_CASES: readonly Case[] = [
  {
    name: 'an answer in parts with requests behind it is begun at its caller once it is whole',
    reactions: { a: [halfThen(SECOND_HALF)] },
    tried: ['a'],
    result: 'answer 200',
  },
  {
    name: 'half of an answer is not begun at its caller, and its request ends with an answer at its deadline',
    reactions: { a: [halfThen(NO_REACTION)] },
    tried: ['a'],
    result: 'unknown',
  },
  {
    name: 'a safe request whose answer broke off before it was whole is repeated elsewhere',
    reactions: { a: [halfThen(BROKEN)], b: [halfThen(SECOND_HALF)] },
    tried: ['a', 'b'],
    result: 'answer 200',
  },
  {
    name: 'a safe request whose link was lost before its answer was whole is repeated elsewhere',
    reactions: { a: [halfThen(LOST_AFTER_SENDING)], b: [ANSWER] },
    tried: ['a', 'b'],
    result: 'answer 200',
  },
  {
    name: 'a non-idempotent request whose answer broke off before it was whole has an unknown outcome',
    reactions: { a: [halfThen(BROKEN)], b: [ANSWER] },
    setup: NON_IDEMPOTENT,
    tried: ['a'],
    result: 'unknown',
  },
];

for (const { name, reactions, setup, tried, result } of STORED_CASES) {
  test(name, (t) => {
    const outcome = forward(reactions, { ...setup, hasRequestsBehind: true });
    t.deepEqual(outcome.tried, tried);
    t.is(outcome.result, result);
    for (const taken of outcome.takings) taken();
    t.is(outcome.windows.usedBytes, 0);
  });
}

test('a request still queued shortly before its deadline is withdrawn and reported as not run', (t) => {
  const outcome = forward({ a: [NO_REACTION, refuse('cancelled')] }, { kind: 'non-idempotent' });
  t.like(outcome.unanswered, { kind: 'not-run' });
  t.deepEqual(outcome.tried, ['a']);
});

test('a request is sent elsewhere when its sidecar disconnects before receiving it', (t) => {
  const outcome = forward({ a: [LOST_BEFORE_SENDING], b: [ANSWER] }, { kind: 'non-idempotent' });
  t.deepEqual(outcome.tried, ['a', 'b']);
  t.is(outcome.result, 'answer 200');
});

test('a request that was not run ends with a retry-after time', (t) => {
  const outcome = forward({ a: [refuse('busy')] });
  t.true(outcome.unanswered?.kind === 'not-run' && outcome.unanswered.retryAfterMs > 0);
});

test('without any back end a request searches for part of its target latency and then ends', (t) => {
  t.is(forward({}, { passMs: 150 }).result, 'not-run');
});

test('an answer in time is logged as a sampled event, and a late one as a failure', (t) => {
  const inTime = forward({ a: [ANSWER] });
  t.deepEqual([inTime.logged, inTime.sampled], [[], ['request-answered']]);
  const late = forward({ a: [ANSWER] }, { spentMs: 399.5 });
  t.deepEqual([late.logged, late.sampled], [['request-answered'], []]);
});

test('the retry-after time is that of the refusing sidecar', (t) => {
  const outcome = forward({
    a: [
      (handlers) => handlers.onRefusal({ reason: 'busy', arrived: false, retryAfterMs: 321, status: null }),
    ],
  });
  t.like(outcome.unanswered, { kind: 'not-run', retryAfterMs: 321 });
});

test('of several refusals the shortest retry-after time counts', (t) => {
  const refuseFor = (retryAfterMs: number): Reaction => {
    return (handlers) => {
      handlers.onRefusal({ reason: 'rate-limited', arrived: false, retryAfterMs, status: null });
    };
  };
  const outcome = forward({ a: [refuseFor(900)], b: [refuseFor(400)], c: [refuseFor(2_000)] });
  t.like(outcome.unanswered, { kind: 'not-run', retryAfterMs: 400 });
});

/** Guards against a delay that leaves no time to wait for the link, and against trust in times that cannot be. */
for (const { linkFreeInMs, retryAfterMs } of [
  { linkFreeInMs: 70, retryAfterMs: 70 },
  { linkFreeInMs: -1, retryAfterMs: 200 },
  { linkFreeInMs: NaN, retryAfterMs: 200 },
]) {
  test(`after refusals for a network link that has room in ${linkFreeInMs} ms a retry is due in ${retryAfterMs} ms`, (t) => {
    const refuseForLink: Reaction = (handlers) => {
      handlers.onRefusal({ reason: 'busy', arrived: false, retryAfterMs: 70, status: null, linkFreeInMs });
    };
    t.like(forward({ a: [refuseForLink], b: [refuse('busy')] }).unanswered, {
      kind: 'not-run',
      retryAfterMs,
    });
  });
}

/** Guards against a service that counts as full while links of it are idle, and against a search without an end. */
for (const { hasRoomElsewhere, known, tried } of [
  { hasRoomElsewhere: 'no', known: 'all are known to be full', tried: 1 },
  { hasRoomElsewhere: 'maybe', known: 'nothing is known of the others', tried: 3 },
  { hasRoomElsewhere: 'yes', known: 'an idle one is known', tried: 8 },
] as const) {
  test(`refusals for a network link end the search after ${tried} daemons if ${known}`, (t) => {
    const refuseForLink: Reaction = (handlers) => {
      handlers.onRefusal({
        reason: 'busy',
        arrived: false,
        retryAfterMs: 70,
        status: null,
        linkFreeInMs: 70,
      });
    };
    const reactions = Object.fromEntries([...'abcdefghij'].map((id) => [id, [refuseForLink]]));
    t.is(forward(reactions, { hasRoomElsewhere }).tried.length, tried);
  });
}

test('an answer that states a leave is logged once by the daemon that passes it on', (t) => {
  const outcome = forward({
    a: [
      (handlers) => {
        const timing = { waitedMs: 0, backendMs: 1 };
        handlers.onAnswer(
          {
            statusCode: 200,
            headers: [],
            moreFollows: false,
            contentLength: 0,
            framed: true,
            timing,
            status: null,
            leaving: true,
          },
          Buffer.alloc(0),
        );
      },
    ],
  });
  t.deepEqual(outcome.logged, ['leave-stated']);
});

const PARENT: CallParent = {
  request: { requestId: 'p', route: 'order', priority: 0, deadlineMs: 1_500, isCall: false },
  criterion: 'id',
};

test('a call is searched a slot beyond three busy refusals, while its parent has time', (t) => {
  const busy = Array.from({ length: 4 }, (_, at) => [`b${at}`, [refuse('busy')]] as const);
  const outcome = forward({ ...Object.fromEntries(busy), z: [ANSWER] }, { parent: PARENT });
  t.deepEqual(outcome.tried, ['b0', 'b1', 'b2', 'b3', 'z']);
  t.is(outcome.result, 'answer 200');
  t.like(outcome.heads[0]?.nested, { priority: 0, remainingMs: 500 });
  t.like(outcome.endedCalls[0], { answered: true, service: 's' });
});

/** Guards against a pause of the search, which is meant for full services, while a back end can be used at once. */
test('a call that a network link has refused goes on at once while another link is known to be idle', (t) => {
  const refuseForLink: Reaction = (handlers) => {
    handlers.onRefusal({ reason: 'busy', arrived: false, retryAfterMs: 70, status: null, linkFreeInMs: 70 });
  };
  const setup: Setup = { parent: PARENT, hasRoomElsewhere: 'yes', passMs: 10 };
  const outcome = forward({ a: [refuseForLink], b: [ANSWER] }, setup);
  t.deepEqual(outcome.tried, ['a', 'b']);
  t.is(outcome.result, 'answer 200');
});

test('a call of a full service ends as not run when its parent has no time left, after few attempts', (t) => {
  const always = Array.from({ length: 50 }, () => refuse('busy'));
  const outcome = forward({ a: [...always], b: [...always] }, { parent: PARENT, ...NON_IDEMPOTENT });
  t.is(outcome.result, 'not-run');
  t.true(outcome.tried.length > 3 && outcome.tried.length < 24, `${outcome.tried.length} attempts`);
  t.like(outcome.endedCalls[0], { answered: false });
});

test('a call that may have run when its link was lost is not sent again, whatever time its parent has', (t) => {
  const setup: Setup = { ...NON_IDEMPOTENT, parent: PARENT };
  const outcome = forward({ a: [refuse('busy')], b: [LOST_AFTER_SENDING], c: [ANSWER] }, setup);
  t.deepEqual(outcome.tried, ['a', 'b']);
  t.is(outcome.result, 'unknown');
  t.like(outcome.endedCalls[0], { answered: false });
});

test('a request without a waiting parent carries no relation to one', (t) => {
  t.false('nested' in (forward({ a: [ANSWER] }).heads[0] ?? {}));
});

test('a retry of a caller searches for a back end as long as the work could still be done', (t) => {
  t.is(forward({}, { passMs: 550, spentMs: 300 }).result, '');
  t.is(forward({}, { passMs: 650, spentMs: 300 }).result, 'not-run');
});
