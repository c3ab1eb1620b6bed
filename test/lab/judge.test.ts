import test from 'ava';
import type { ExecutionRecord, JournalRecord, SendingRecord } from '../../lab/journal.js';
import { findViolations } from '../../lab/fleet/judge.js';

function execution(given: Partial<ExecutionRecord>): ExecutionRecord {
  return {
    kind: 'execution',
    atMs: 1,
    backend: 'backend-1',
    service: 'stock',
    shard: 1,
    epoch: 1,
    key: 'key',
    sendingId: 'sending-1',
    idempotencyKey: null,
    repeatable: true,
    ...given,
  };
}

function sending(given: Partial<SendingRecord>): SendingRecord {
  return {
    kind: 'sending',
    sentMs: 0,
    endedMs: 2,
    service: 'stock',
    shard: 1,
    key: 'key',
    operation: 'lookup',
    sendingId: 'sending-1',
    idempotencyKey: null,
    status: 200,
    outcome: 'answered',
    detail: '',
    retryAfterMs: null,
    router: 'router-1',
    ...given,
  };
}

const CASES: readonly { name: string; history: JournalRecord[]; broken: string[] }[] = [
  { name: 'a good history', history: [execution({}), sending({})], broken: [] },
  {
    name: 'an older epoch runs after a newer one',
    history: [execution({ epoch: 2, backend: 'backend-2' }), execution({ atMs: 2, sendingId: 's2' })],
    broken: ['one-owner'],
  },
  {
    name: 'one epoch at two back ends',
    history: [execution({}), execution({ atMs: 2, backend: 'backend-2', sendingId: 's2' })],
    broken: ['one-owner'],
  },
  {
    name: 'a request that ran was refused as not run',
    history: [execution({}), sending({ outcome: 'refused', status: 503 })],
    broken: ['not-run'],
  },
  {
    name: 'a confirmation ran twice under one key',
    history: [
      execution({ repeatable: false, idempotencyKey: 'k' }),
      execution({ repeatable: false, idempotencyKey: 'k', sendingId: 's2', atMs: 2 }),
    ],
    broken: ['at-most-once'],
  },
  {
    name: 'a confirmation without a key ran twice',
    history: [execution({ repeatable: false }), execution({ repeatable: false, atMs: 2 })],
    broken: ['at-most-once'],
  },
  {
    name: 'an answer that belongs to another request',
    history: [execution({}), sending({ outcome: 'wrong-answer' })],
    broken: ['whole-answer'],
  },
  { name: 'an answer without a run', history: [sending({})], broken: ['answered-was-run'] },
  {
    name: 'an answer replayed under its idempotency key',
    history: [
      execution({ idempotencyKey: 'k', repeatable: false }),
      sending({ sendingId: 's2', idempotencyKey: 'k' }),
    ],
    broken: [],
  },
];

for (const { name, history, broken } of CASES) {
  test(`judge: ${name}`, (t) => {
    t.deepEqual(
      findViolations(history).map(({ promise }) => promise),
      broken as never,
    );
  });
}
