/** Probes before a selection: which back ends are probed, how long answers are awaited, and which is selected. */
import test from 'ava';
import type { BackendInstance } from '../../src/directory/directory-state.js';
import type { StatusHead } from '../../src/link/link-messages.js';
import { StatedLeaves } from '../../src/sidecar/stated-leaves.js';
import { SILENT_EVENT_LOG } from '../../src/telemetry/event-log.js';
import { BackendChooser } from '../../src/sidecar/backend-chooser.js';
import { BackendProber } from '../../src/sidecar/backend-prober.js';
import { BackendView } from '../../src/sidecar/backend-view.js';
import type { DirectoryTable } from '../../src/sidecar/directory-table.js';
import { ManualTime } from './manual-runtime.js';

const SERVICE = 'ledger';
const NONE_EXCLUDED: ReadonlySet<string> = new Set();

/** Back ends in two zones, seen from a sidecar in zone `a`. */
class Fleet {
  readonly time = new ManualTime();
  readonly probed: string[] = [];
  readonly views = new Map<string, BackendView>();
  readonly instances: BackendInstance[] = [];
  readonly prober: BackendProber;
  readonly statedLeaves = new StatedLeaves({
    runtime: this.time.runtime,
    log: SILENT_EVENT_LOG,
    drainMs: 2_000,
  });
  readonly chooser: BackendChooser;

  constructor(near: number, far: number) {
    for (let at = 0; at < near; at += 1) this.add(`near-${at}`, 'a');
    for (let at = 0; at < far; at += 1) this.add(`far-${at}`, 'b');
    const view = (id: string): BackendView => this.views.get(id) ?? new BackendView();
    this.prober = new BackendProber({
      runtime: this.time.runtime,
      view,
      sendProbe: ({ id }) => this.probed.push(id),
    });
    this.chooser = new BackendChooser({
      table: {
        service: () => null,
        instancesOf: () => this.instances,
      } as unknown as DirectoryTable,
      zone: 'a',
      daemonAddress: 'own',
      linkBytesPerMs: Infinity,
      view,
      statedLeaves: this.statedLeaves,
      nowMs: () => this.time.nowMs,
      random: () => 0.5,
    });
  }

  answer(id: string, running: number): void {
    const status: StatusHead = {
      instance: id,
      running,
      waiting: 0,
      slots: 2,
      serviceMs: 50,
      accepting: true,
      sendWaitMs: 0,
      pacing: null,
      pace: 1,
      meanPace: 1,
    };
    this.views.get(id)?.recordStatus(status, this.time.nowMs);
    this.prober.answered(id);
  }

  choose(candidates: readonly BackendInstance[], unanswered = NONE_EXCLUDED): string | null {
    const excluded = NONE_EXCLUDED;
    const choice = {
      service: SERVICE,
      key: null,
      excluded,
      unanswered,
      answerBytes: 100,
      workMs: null,
      candidates,
    };
    return this.chooser.choose(choice)?.id ?? null;
  }

  near(excluded = NONE_EXCLUDED): readonly BackendInstance[] {
    return this.chooser.nearCandidates(SERVICE, excluded);
  }

  private add(id: string, zone: string): void {
    this.views.set(id, new BackendView());
    const common = {
      version: 'v1',
      service: SERVICE,
      daemonAddress: id,
      slots: 2,
      condition: 'ready',
      session: 1,
    } as const;
    this.instances.push({ id, zone, ...common });
  }
}

test('the number of probes does not grow with the number of back ends', (t) => {
  for (const size of [3, 30, 300]) {
    const fleet = new Fleet(size, size);
    t.is(fleet.near().length, 3);
    t.is(new Set(fleet.near()).size, 3);
    t.is(fleet.chooser.farCandidates(SERVICE, NONE_EXCLUDED).length, Math.min(4, size));
  }
});

test('a round ends with the last answer, and the least busy back end is selected', (t) => {
  const fleet = new Fleet(3, 0);
  const candidates = fleet.near();
  let rounds = 0;
  fleet.prober.probe(candidates, () => (rounds += 1));
  t.deepEqual([...fleet.probed].sort(), ['near-0', 'near-1', 'near-2']);
  fleet.answer('near-0', 2);
  fleet.answer('near-1', 0);
  t.is(rounds, 0);
  fleet.answer('near-2', 1);
  t.is(rounds, 1);
  t.is(fleet.choose(candidates), 'near-1');
  t.true(fleet.chooser.hasCapacity(candidates));
});

test('a back end that does not answer its probe delays the selection briefly and is not preferred', (t) => {
  const fleet = new Fleet(2, 0);
  const candidates = fleet.near();
  const rounds: string[][] = [];
  fleet.prober.probe(candidates, (unanswered) => rounds.push([...unanswered]));
  fleet.answer('near-0', 5);
  fleet.time.pass(20);
  t.deepEqual(rounds, []);
  fleet.time.pass(20);
  t.deepEqual(rounds, [['near-1']]);
  t.is(fleet.prober.unanswered, 1);
  t.is(fleet.choose(candidates, new Set(rounds[0])), 'near-0');
});

test('a status is fresh for one service time, and probed for again afterwards', (t) => {
  const fleet = new Fleet(1, 0);
  fleet.answer('near-0', 1);
  let rounds = 0;
  fleet.time.pass(50);
  fleet.prober.probe(fleet.near(), () => (rounds += 1));
  t.deepEqual([fleet.probed.length, rounds], [0, 1]);
  fleet.time.pass(1);
  fleet.prober.probe(fleet.near(), () => (rounds += 1));
  t.deepEqual([fleet.probed.length, rounds], [1, 1]);
});

test('the rate of probes is limited, and a selection does not wait for probes over the limit', (t) => {
  const fleet = new Fleet(3, 0);
  let rounds = 0;
  for (let request = 0; request < 100; request += 1) fleet.prober.probe(fleet.near(), () => (rounds += 1));
  t.is(fleet.probed.length, 30);
  t.is(rounds, 90);
  fleet.time.pass(1_000);
  for (let request = 0; request < 100; request += 1) fleet.prober.refresh(fleet.near());
  t.is(fleet.probed.length, 60);
});

test('back ends have known capacity only while their status is fresh', (t) => {
  const fleet = new Fleet(2, 0);
  t.false(fleet.chooser.hasKnownCapacity(fleet.near()));
  fleet.answer('near-0', 1);
  fleet.answer('near-1', 2);
  t.true(fleet.chooser.hasKnownCapacity(fleet.near()));
  fleet.views.get('near-0')?.recordSent();
  t.false(fleet.chooser.hasKnownCapacity(fleet.near()));
  fleet.answer('near-0', 1);
  fleet.time.pass(51);
  t.false(fleet.chooser.hasKnownCapacity(fleet.near()));
});

test('a cancelled round does not call back', (t) => {
  const fleet = new Fleet(1, 0);
  let rounds = 0;
  const cancelRound = fleet.prober.probe(fleet.near(), () => (rounds += 1));
  cancelRound();
  fleet.answer('near-0', 0);
  fleet.time.pass(100);
  t.is(rounds, 0);
});

test('candidates come from the own zone, and are filled up from other zones where it has too few', (t) => {
  const zonesOf = (near: number): string[] => new Fleet(near, 9).near().map(({ zone }) => zone);
  t.deepEqual(zonesOf(1), ['a', 'b', 'b']);
  t.deepEqual(zonesOf(5), ['a', 'a', 'a']);
});

test('back ends that failed are candidates only if there are no others', (t) => {
  const fleet = new Fleet(2, 0);
  fleet.views.get('near-0')?.recordFailure(fleet.time.nowMs);
  t.deepEqual(
    fleet.near().map(({ id }) => id),
    ['near-1'],
  );
  t.deepEqual(
    fleet.near(new Set(['near-1'])).map(({ id }) => id),
    ['near-0'],
  );
});

test('back ends without free slots are distinguished from those with some', (t) => {
  const fleet = new Fleet(2, 2);
  fleet.answer('near-0', 2);
  fleet.answer('near-1', 3);
  t.false(fleet.chooser.hasCapacity(fleet.instances.slice(0, 2)));
  fleet.answer('far-0', 0);
  t.true(fleet.chooser.hasCapacity(fleet.chooser.farCandidates(SERVICE, NONE_EXCLUDED)));
});

test('a back end that has stated its leave is a last resort at first, and receives no request in the end', (t) => {
  const fleet = new Fleet(2, 0);
  fleet.statedLeaves.record('near-0', 'r');
  const ids = (): string[] => fleet.chooser.nearCandidates(SERVICE, NONE_EXCLUDED).map(({ id }) => id);
  t.deepEqual(ids(), ['near-1']);
  const leavingOnly = new Fleet(1, 0);
  leavingOnly.statedLeaves.record('near-0', 'r');
  leavingOnly.time.pass(1_500);
  t.is(leavingOnly.chooser.nearCandidates(SERVICE, NONE_EXCLUDED).length, 1);
  leavingOnly.time.pass(200);
  t.is(leavingOnly.chooser.nearCandidates(SERVICE, NONE_EXCLUDED).length, 0);
});
