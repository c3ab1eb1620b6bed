/** Tests of when a daemon renews its lease and registers its back end again. */
import test from 'ava';
import type { DirectoryRequest } from '../../src/directory/directory-messages.js';
import { LeaseKeeper } from '../../src/sidecar/lease-keeper.js';
import { SILENT_EVENT_LOG } from '../../src/telemetry/event-log.js';
import { ManualTime } from './manual-runtime.js';

const BACKEND = {
  version: 'v1',
  id: 'life-1',
  service: 's',
  zone: 'z',
  slots: 4,
  condition: 'ready',
} as const;

class World {
  readonly time = new ManualTime();
  readonly sent: DirectoryRequest[] = [];
  hasQueue = false;
  other: string | null = null;
  registeredHolder: string | null = null;
  replaceable = new Set(['life-0']);
  firstRegistrations = 0;
  /** Whether the newest of them replaced another incarnation. */
  replacesAnother = false;
  usableSlots: number | null = null;
  heldIndex = 1;
  readonly keeper = new LeaseKeeper({
    runtime: this.time.runtime,
    log: SILENT_EVENT_LOG,
    daemonAddress: 'h:1',
    holder: 'present',
    holderOf: () => this.registeredHolder,
    otherIncarnation: () => this.other,
    mayReplace: (registered) => this.replaceable.has(registered),
    heldIndex: () => this.heldIndex,
    send: (request) => {
      this.sent.push(request);
      return true;
    },
    takeLoad: () => [],
    usableSlots: () => this.usableSlots,
    hasQueuedRequests: () => this.hasQueue,
    onFirstRegistration: (_termMs, replacesAnother) => {
      this.firstRegistrations += 1;
      this.replacesAnother = replacesAnother;
    },
    onChange: () => undefined,
  });

  register(): void {
    this.keeper.update(BACKEND);
    const sentMs = this.time.nowMs;
    this.keeper.receive({ kind: 'registered', id: BACKEND.id, session: 5, sentMs, termMs: 9_000, index: 1 });
    this.time.pass(300);
    this.sent.length = 0;
  }
}

for (const { hasQueue, renewals } of [
  { hasQueue: false, renewals: 3 },
  { hasQueue: true, renewals: 7 },
]) {
  test(`load is reported ${renewals} times in 2.1 s ${hasQueue ? 'while requests are queued' : 'without queued requests'}`, (t) => {
    const world = new World();
    world.register();
    world.hasQueue = hasQueue;
    world.time.pass(2_100);
    t.is(world.sent.filter(({ kind }) => kind === 'renew').length, renewals);
    world.keeper.stop();
  });
}

test('a lease is activated only once the table is as recent as the lease', (t) => {
  const world = new World();
  world.heldIndex = 4;
  world.keeper.update(BACKEND);
  const lease = {
    kind: 'registered',
    id: BACKEND.id,
    session: 2,
    sentMs: world.time.nowMs,
    termMs: 9_000,
  } as const;
  world.keeper.receive({ ...lease, index: 6 });
  t.is(world.keeper.session, null);
  world.keeper.receive({ ...lease, kind: 'renewed', index: 9 });
  world.heldIndex = 6;
  world.keeper.tableChanged();
  t.is(world.keeper.session, 2, 'the index of the first answer covers all actions of earlier processes');
  world.keeper.stop();
});

test('a pending lease is discarded when its incarnation is replaced', (t) => {
  const world = new World();
  world.heldIndex = 4;
  world.keeper.update(BACKEND);
  const lease = {
    kind: 'registered',
    id: BACKEND.id,
    session: 2,
    sentMs: world.time.nowMs,
    termMs: 9_000,
  } as const;
  world.keeper.receive({ ...lease, index: 6 });
  world.keeper.update({ ...BACKEND, id: 'life-2' });
  world.heldIndex = 6;
  world.keeper.tableChanged();
  t.is(world.keeper.session, null);
  world.keeper.stop();
});

test('a renewal reports how many slots can be used only if not all can', (t) => {
  const world = new World();
  world.register();
  world.time.pass(800);
  world.usableSlots = 0.5;
  world.time.pass(800);
  const renewals = world.sent.filter(({ kind }) => kind === 'renew');
  t.false('usableSlots' in (renewals[0] ?? {}));
  t.like(renewals.at(-1), { usableSlots: 0.5 });
});

test('only a notice that starts the session shows that the incarnation was not registered before', (t) => {
  for (const [index, expected] of [
    [0, 1],
    [1, 0],
  ] as const) {
    const world = new World();
    world.keeper.update(BACKEND);
    const { nowMs: sentMs } = world.time;
    world.keeper.receive({ kind: 'registered', id: BACKEND.id, session: 5, sentMs, termMs: 9_000, index });
    t.is(world.firstRegistrations, expected);
  }
});

test('a notice that starts the session counts also after a later one, with what the registration replaced', (t) => {
  const world = new World();
  world.other = 'life-0';
  world.keeper.update(BACKEND);
  world.other = null;
  world.time.pass(400);
  const lease = {
    kind: 'registered',
    id: BACKEND.id,
    session: 5,
    sentMs: world.time.nowMs,
    termMs: 9_000,
  } as const;
  world.keeper.receive({ ...lease, index: 1 });
  world.keeper.receive({ ...lease, index: 0 });
  t.deepEqual([world.firstRegistrations, world.replacesAnother], [1, true]);
  world.keeper.stop();
});

test('a registration of another incarnation is replaced only once that one is certain to have ended', (t) => {
  const world = new World();
  world.other = 'life-9';
  world.keeper.update(BACKEND);
  world.time.pass(2_000);
  t.deepEqual(world.sent, []);
  world.replaceable.add('life-9');
  world.time.pass(100);
  t.like(world.sent, [{ kind: 'register', replaces: 'life-9' }]);
});

test('a registration names its process and the one that it takes over from; renewals and its end name its process', (t) => {
  const world = new World();
  world.registeredHolder = 'earlier';
  world.keeper.update(BACKEND);
  t.like(world.sent, [{ kind: 'register', instance: { holder: 'present' }, replacesHolder: 'earlier' }]);
  world.register();
  world.time.pass(700);
  t.like(world.sent.at(-1), { kind: 'renew', session: 5, holder: 'present' });
  world.keeper.giveUp('it has ended');
  t.like(world.sent.at(-1), { kind: 'unregister', session: 5, holder: 'present' });
});
