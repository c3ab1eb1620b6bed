import test from 'ava';
import { ClaimWindow, timeOfKey } from '../../lab/backend/claim-window.js';
import { GrantTable } from '../../lab/backend/grant-table.js';
import { RequestGate } from '../../lab/backend/request-gate.js';

const HORIZON_MS = 30_000;
const ANSWER = { status: 200, contentType: 'text/plain', body: 'done' };

class Setting {
  nowMs = 0;
  readonly grants = new GrantTable({ nowMs: () => this.nowMs, steadyMs: () => this.nowMs }, HORIZON_MS);
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

const REFUSED: readonly [string, (setting: Setting) => void, number, string][] = [
  ['an older epoch', () => undefined, 2, 'not-owner'],
  ['a newer epoch', () => undefined, 4, 'not-owner'],
  ['after the lease', (setting) => (setting.nowMs = 1_000), 3, 'lease-expired'],
  ['while it is released', (setting) => void setting.grants.release(1, 3), 3, 'releasing'],
  ['after it was revoked', (setting) => void setting.grants.revoke([1]), 3, 'not-owner'],
  [
    'after another agent took the back end',
    (setting) => void setting.grants.takeHolder('other'),
    3,
    'not-owner',
  ],
];

for (const [name, prepare, epoch, code] of REFUSED) {
  test(`fence: refused ${name}`, (t) => {
    const setting = new Setting();
    prepare(setting);
    t.deepEqual(setting.begin(epoch), { kind: 'refused', code: code as never });
  });
}

test('a request that outlives its grant does not change anything', (t) => {
  const setting = new Setting();
  const begun = setting.begin(3, 'key');
  if (begun.kind !== 'running') throw new Error(begun.kind);
  setting.nowMs = 1_000;
  t.is(
    begun.work.finish(false, () => t.fail() as never),
    null,
  );
  setting.grants.extend(2_000);
  t.is(setting.begin(3, 'key').kind, 'running', 'the key was not used up');
});

test('a release waits for what is running and carries its claim', async (t) => {
  const setting = new Setting();
  const begun = setting.begin(3, 'key');
  if (begun.kind !== 'running') throw new Error(begun.kind);
  const released = setting.grants.release(1, 3);
  begun.work.finish(false, () => ANSWER);
  const window = (await released)?.export() ?? [];
  t.deepEqual(
    window.map(({ key, answer }) => [key, answer?.body]),
    [['key', 'done']],
  );
});

test('a repeat is replayed, and refused while the first is running', (t) => {
  const setting = new Setting();
  const begun = setting.begin(3, 'key');
  t.deepEqual(setting.begin(3, 'key'), { kind: 'refused', code: 'in-progress' });
  if (begun.kind === 'running') begun.work.finish(false, () => ANSWER);
  t.deepEqual(setting.begin(3, 'key'), { kind: 'replay', answer: ANSWER });
});

test('no more requests than slots', (t) => {
  const setting = new Setting();
  setting.begin();
  setting.begin();
  t.deepEqual(setting.begin(), { kind: 'refused', code: 'overloaded' });
});

const UUID_AT_5000 = '00000000-1388-7000-8000-000000000001';

test('the time of a UUID of version 7 is read; other keys have none', (t) => {
  t.is(timeOfKey(UUID_AT_5000), 5_000);
  t.is(timeOfKey('order-17'), null);
});

const FRESHNESS: readonly [string, string, number, number, string][] = [
  ['no window was lost', 'order-17', 0, 10, 'run'],
  ['a key made before the loss', UUID_AT_5000, 6_000, 9_000, 'freshness-unproven'],
  ['a key made within the clock skew', UUID_AT_5000, 4_500, 9_000, 'freshness-unproven'],
  ['a key made well after the loss', UUID_AT_5000, 3_000, 9_000, 'run'],
  ['a key without time, soon after the loss', 'order-17', 3_000, 9_000, 'freshness-unproven'],
  ['a key without time, after the repeat horizon', 'order-17', 3_000, 3_001 + HORIZON_MS, 'run'],
];

for (const [name, key, freshAfterMs, wallMs, expected] of FRESHNESS) {
  test(`freshness: ${name}`, (t) => {
    t.is(new ClaimWindow([], freshAfterMs, HORIZON_MS).claim(key, wallMs).kind, expected as never);
  });
}
