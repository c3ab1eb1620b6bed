import test from 'ava';
import { ClaimWindow, uuidV7TimeMs } from '../../lab/backend/claim-window.js';
import { GrantTable } from '../../lab/backend/grant-table.js';
import { RequestGate } from '../../lab/backend/request-gate.js';

const REPEAT_HORIZON_MS = 30_000;
const ANSWER = { status: 200, contentType: 'text/plain', body: 'done' };

class Fixture {
  nowMs = 0;
  readonly grants = new GrantTable(
    { nowMs: () => this.nowMs, steadyMs: () => this.nowMs },
    REPEAT_HORIZON_MS,
  );
  readonly gate = new RequestGate(this.grants, 2);

  constructor() {
    void this.grants.takeHolder('agent');
    this.grants.extend(1_000);
    this.grants.add([{ shard: 1, epoch: 3, freshAfterMs: 0, window: [] }]);
  }

  begin(epoch = 3, claimKey: string | null = null): ReturnType<RequestGate['begin']> {
    return this.gate.begin({ fence: { shard: 1, epoch }, claimKey, wallMs: 5_000 });
  }
}

const REFUSAL_CASES: readonly [string, (setting: Fixture) => void, number, string][] = [
  ['an older epoch', () => undefined, 2, 'not-owner'],
  ['a newer epoch', () => undefined, 4, 'not-owner'],
  ['after the lease has expired', (fixture) => (fixture.nowMs = 1_000), 3, 'lease-expired'],
  ['while it is released', (fixture) => void fixture.grants.release(1, 3), 3, 'releasing'],
  ['after it was revoked', (fixture) => void fixture.grants.revoke([1]), 3, 'not-owner'],
  [
    'after another agent became the holder',
    (fixture) => void fixture.grants.takeHolder('other'),
    3,
    'not-owner',
  ],
];

for (const [name, prepare, epoch, code] of REFUSAL_CASES) {
  test(`fence: refused ${name}`, (t) => {
    const fixture = new Fixture();
    prepare(fixture);
    t.deepEqual(fixture.begin(epoch), { kind: 'refused', code: code as never });
  });
}

test('a request whose lease expires while it runs changes no state', (t) => {
  const fixture = new Fixture();
  const begun = fixture.begin(3, 'key');
  if (begun.kind !== 'running') throw new Error(begun.kind);
  fixture.nowMs = 1_000;
  t.is(
    begun.work.finish(false, () => t.fail() as never),
    null,
  );
  fixture.grants.extend(2_000);
  t.is(fixture.begin(3, 'key').kind, 'running', 'the key is free again');
});

test('a release waits for requests in flight and hands over their claims', async (t) => {
  const fixture = new Fixture();
  const begun = fixture.begin(3, 'key');
  if (begun.kind !== 'running') throw new Error(begun.kind);
  const released = fixture.grants.release(1, 3);
  begun.work.finish(false, () => ANSWER);
  const window = (await released)?.export() ?? [];
  t.deepEqual(
    window.map(({ key, answer }) => [key, answer?.body]),
    [['key', 'done']],
  );
});

test('a repeated key is replayed, and refused while the first request is in flight', (t) => {
  const fixture = new Fixture();
  const begun = fixture.begin(3, 'key');
  t.deepEqual(fixture.begin(3, 'key'), { kind: 'refused', code: 'in-progress' });
  if (begun.kind === 'running') begun.work.finish(false, () => ANSWER);
  t.deepEqual(fixture.begin(3, 'key'), { kind: 'replay', answer: ANSWER });
});

test('requests beyond the number of slots are refused as overloaded', (t) => {
  const fixture = new Fixture();
  fixture.begin();
  fixture.begin();
  t.deepEqual(fixture.begin(), { kind: 'refused', code: 'overloaded' });
});

const UUID_AT_5000 = '00000000-1388-7000-8000-000000000001';

test('the creation time is read from a UUID of version 7 and from no other key', (t) => {
  t.is(uuidV7TimeMs(UUID_AT_5000), 5_000);
  t.is(uuidV7TimeMs('order-17'), null);
});

const FRESHNESS_CASES: readonly [string, string, number, number, string][] = [
  ['no window was lost', 'order-17', 0, 10, 'run'],
  ['a key created before the loss', UUID_AT_5000, 6_000, 9_000, 'freshness-unproven'],
  ['a key created within the clock skew after the loss', UUID_AT_5000, 4_500, 9_000, 'freshness-unproven'],
  ['a key created after the loss and the clock skew', UUID_AT_5000, 3_000, 9_000, 'run'],
  ['a key without creation time, within the repeat horizon', 'order-17', 3_000, 9_000, 'freshness-unproven'],
  [
    'a key without creation time, after the repeat horizon',
    'order-17',
    3_000,
    3_001 + REPEAT_HORIZON_MS,
    'run',
  ],
];

for (const [name, key, freshAfterMs, wallMs, expected] of FRESHNESS_CASES) {
  test(`freshness: ${name}`, (t) => {
    t.is(new ClaimWindow([], freshAfterMs, REPEAT_HORIZON_MS).claim(key, wallMs).kind, expected as never);
  });
}
