/** What a run makes of the headers of an answer: its statements, its own retry delay, answers of other incarnations. */
import test from 'ava';
import type { AnswerHead, RefusalHead, RequestHead } from '../../src/link/link-messages.js';
import type { BackendRequestHandlers } from '../../src/sidecar/backend-connection.js';
import type { RequestPool } from '../../src/sidecar/backend-pool.js';
import { BackendRun } from '../../src/sidecar/backend-run.js';
import { AnswerBuffers } from '../../src/sidecar/answer-buffers.js';
import type { BackendSignals } from '../../src/sidecar/backend-signals.js';
import { DEFAULT_HEADER_DIALECT } from '../../src/sidecar/header-dialect.js';
import { ManualTime } from './manual-runtime.js';

const HEAD: RequestHead = {
  requestId: 'r',
  method: 'GET',
  path: '/',
  headers: [],
  instance: 'one',
  key: null,
  route: 'route',
  priority: 1,
  repeatable: true,
  remainingMs: 1_000,
  patienceMs: 0,
  targetLeftMs: 500,
  spentMs: 0,
};

const { requestLimit, leaving, notRun, seal } = DEFAULT_HEADER_DIALECT;
const SEALED = [seal, 'seal'];
const DECLINED = [notRun, '1'];

interface Outcome {
  readonly signals: BackendSignals[];
  readonly answers: AnswerHead[];
  readonly refusals: RefusalHead[];
}

/** Runs a request that is answered with a status and headers. */
function run(statusCode: number, headers: readonly string[]): Outcome {
  const outcome: Outcome = { signals: [], answers: [], refusals: [] };
  let handlers: BackendRequestHandlers | null = null;
  const pool: RequestPool = {
    opened: 0,
    run: (_request, given) => {
      handlers = given;
      return { cancel: () => undefined, setPaused: () => undefined };
    },
    destroy: () => undefined,
  };
  const { runtime } = new ManualTime();
  const after = (ms: number, callback: () => void): (() => void) => runtime.after(ms, callback);
  const ports = {
    status: () => null,
    timing: () => ({ waitedMs: 0, backendMs: 0 }),
    reply: {
      refuse: (refusal: RefusalHead) => outcome.refusals.push(refusal),
      fail: () => undefined,
      answer: (answer: AnswerHead) => outcome.answers.push(answer),
      body: () => true,
      end: () => undefined,
      onDrain: () => undefined,
    },
    buffers: new AnswerBuffers(),
    onSignals: (signals: BackendSignals) => outcome.signals.push(signals),
    confirmEnd: () => () => undefined,
    onDone: () => undefined,
  };
  new BackendRun(pool, after, DEFAULT_HEADER_DIALECT, HEAD, Buffer.alloc(0), 1_000, ports).start();
  const given = handlers as BackendRequestHandlers | null;
  given?.onAnswer({ statusCode, headers, keepAlive: true, framed: true });
  given?.onEnd();
  return outcome;
}

test('statements are read from answers, and a leave is passed on with the answer', (t) => {
  const { signals, answers } = run(200, [...SEALED, requestLimit, '2.5', leaving, '1']);
  t.deepEqual(signals, [{ limit: { kind: 'limited', requestsPerSecond: 2.5 }, leaving: true }]);
  t.is(answers[0]?.leaving, true);
  t.true(answers[0]?.headers.includes(requestLimit), 'the caller receives the header as well');
});

test('an answer without statements is passed on without any', (t) => {
  const { signals, answers } = run(200, SEALED);
  t.deepEqual(signals, [{ limit: { kind: 'none' }, leaving: false }]);
  t.false('leaving' in (answers[0] ?? {}));
});

test('statements are read from answers that decline a request', (t) => {
  t.like(run(503, [...DECLINED, requestLimit, '0']).signals[0], { limit: { requestsPerSecond: 0 } });
});

test('answers that may come from another incarnation, or not from the back end, state nothing', (t) => {
  t.deepEqual(run(421, [...DECLINED, requestLimit, '0', leaving, '1']).signals, []);
  t.deepEqual(run(200, [requestLimit, '0', leaving, '1']).signals, []);
});

for (const [text, retryAfterMs] of [
  [null, 100],
  ['2', 2_000],
  ['0.25', 250],
  ['0', 100],
  ['3600', 10_000],
  ['-1', 100],
  ['soon', 100],
] as const) {
  test(`a request that is declined with the retry delay ${String(text)}`, (t) => {
    const { refusals } = run(503, [...DECLINED, ...(text === null ? [] : ['retry-after', text])]);
    t.is(refusals[0]?.retryAfterMs, retryAfterMs);
  });
}
