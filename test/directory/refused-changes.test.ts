/**
 * Changes that cannot be accepted get the answer of the state machine without taking space in the log: a series of refused changes
 * used to fill it as accepted ones do.
 */
import test from 'ava';
import { Random } from '../../lab/random.js';
import { replicaLimits } from '../../src/consensus/replica-limits.js';
import { Proposals } from '../../src/control/proposals.js';
import type { ConfigurationCommand } from '../../src/directory/configuration-check.js';
import { ConfigurationSize } from '../../src/directory/configuration-size.js';
import type { DirectoryCommand, DirectoryOutcome } from '../../src/directory/directory-commands.js';
import { applyDirectoryCommand } from '../../src/directory/directory-machine.js';
import {
  emptyDirectoryState,
  encodeDirectory,
  type ConfigurationItem,
} from '../../src/directory/directory-state.js';
import { OperatorChanges } from '../../src/directory/operator-changes.js';
import { ManualTime } from '../sidecar/manual-runtime.js';

const SEEDS = 40;
const CHANGES = 120;
const NAMES = ['a', 'b', 'c'];

function service(name: string, version: number, isDropped: boolean): ConfigurationItem {
  const definition = { maxConnections: 1, keyed: false, grantMode: null, coldStart: null, healthPath: null };
  if (isDropped) return { kind: 'service', name, version, source: null, definition: null };
  return { kind: 'service', name, version, source: `${name} ${version}`, definition };
}

function route(name: string, version: number, destination: string): ConfigurationItem {
  const definition = {
    host: 'h.example',
    pathPrefix: '/',
    kind: 'safe',
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    priority: 1,
    maxAttempts: 1,
    destinations: [{ service: destination, weight: 1 }],
  } as const;
  return { kind: 'route', name, version, source: `${name} to ${destination}`, definition };
}

/** A leader whose proposals are committed when the test says so. */
class Leader {
  readonly state = emptyDirectoryState();
  readonly changes: OperatorChanges;
  confirmed = true;
  logged = 0;
  private readonly log: { readonly id: string; readonly command: DirectoryCommand }[] = [];
  private readonly proposals: Proposals<DirectoryCommand, DirectoryOutcome>;

  constructor() {
    const time = new ManualTime();
    let nextId = 0;
    const runtime = { ...time.runtime, randomId: () => `p-${(nextId += 1)}` };
    this.proposals = new Proposals(runtime, (id, command) => {
      this.log.push({ id, command });
    });
    this.changes = new OperatorChanges(runtime, this.proposals, {
      state: () => this.state,
      configuration: new ConfigurationSize(),
      limits: replicaLimits(null),
      confirmLeadership: async () => await Promise.resolve(this.confirmed),
    });
  }

  /** Commits and applies what was proposed. */
  commit(): void {
    for (const { id, command } of this.log.splice(0)) {
      this.logged += 1;
      this.proposals.applied(id, applyDirectoryCommand(this.state, command, this.logged).outcome);
    }
  }

  async answer(command: DirectoryCommand): Promise<DirectoryOutcome | null> {
    const answer = this.changes.propose(command);
    this.commit();
    const result = await answer;
    return result.ok ? result.val : null;
  }
}

/** Draws a change: its base and versions are current, older or newer, and some of its routes name unknown services. */
function drawChange(random: Random, revision: number, at: number): ConfigurationCommand {
  const version = Math.max(0, revision + random.below(5) - 1);
  const items = Array.from({ length: 1 + random.below(3) }, () =>
    random.below(3) === 0
      ? route(random.pick(NAMES), version, random.pick(NAMES))
      : service(random.pick(NAMES), version, random.below(4) === 0),
  );
  const digest = `d-${at}`;
  if (random.below(4) === 0) return { kind: 'configure-items', digest, items };
  const base = Math.max(0, revision + random.below(4) - 2);
  return { kind: 'configure-revision', base, version, digest, replacesAll: random.below(2) === 0, items };
}

test('a series of changes and resends is answered as by the state machine, and refused ones are not logged', async (t) => {
  const outcomes = new Map<string, number>();
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const random = new Random(seed);
    const leader = new Leader();
    const machine = emptyDirectoryState();
    const sent: ConfigurationCommand[] = [];
    for (let at = 0; at < CHANGES; at += 1) {
      const isResend = sent.length > 0 && random.below(4) === 0;
      const command = isResend ? random.pick(sent) : drawChange(random, machine.revision, at);
      sent.push(command);
      const { outcome } = applyDirectoryCommand(machine, command, at);
      const loggedBefore = leader.logged;
      t.deepEqual(await leader.answer(command), outcome, `seed ${seed}, change ${at}`);
      if (outcome.kind !== 'done') t.is(leader.logged, loggedBefore, `seed ${seed}, change ${at}`);
      outcomes.set(outcome.kind, (outcomes.get(outcome.kind) ?? 0) + 1);
    }
    t.deepEqual(encodeDirectory(leader.state), encodeDirectory(machine), `seed ${seed}`);
  }
  for (const kind of ['done', 'conflict', 'invalid']) t.true((outcomes.get(kind) ?? 0) > SEEDS, kind);
});

const REVISION = { kind: 'configure-revision', replacesAll: false, items: [] } as const;

async function leaderAtRevision(version: number): Promise<Leader> {
  const leader = new Leader();
  await leader.answer({ ...REVISION, base: 0, version, digest: 'first' });
  return leader;
}

test('a leader that is not confirmed refuses only a base below its revision', async (t) => {
  const leader = await leaderAtRevision(5);
  leader.confirmed = false;
  const logged = leader.logged;
  t.deepEqual(await leader.answer({ ...REVISION, base: 4, version: 9, digest: 'older' }), {
    kind: 'conflict',
    present: 5,
  });
  t.is(await leader.answer({ ...REVISION, base: 7, version: 9, digest: 'newer' }), null);
  t.is(await leader.answer({ ...REVISION, base: 5, version: 5, digest: 'not above' }), null);
  const items = [route('r', 6, 'unknown')];
  t.is(await leader.answer({ ...REVISION, base: 5, version: 6, digest: 'invalid', items }), null);
  t.is(leader.logged, logged);
});

test('a change that builds on one in flight is decided behind it', async (t) => {
  const leader = await leaderAtRevision(5);
  const first = leader.changes.propose({ ...REVISION, base: 5, version: 6, digest: 'a' });
  const second = leader.changes.propose({ ...REVISION, base: 6, version: 7, digest: 'b' });
  const third = leader.changes.propose({ ...REVISION, base: 5, version: 8, digest: 'c' });
  leader.commit();
  t.deepEqual((await first).unwrap(), { kind: 'done' });
  await new Promise((resolve) => setImmediate(resolve));
  leader.commit();
  t.deepEqual((await second).unwrap(), { kind: 'done' });
  t.deepEqual((await third).unwrap(), { kind: 'conflict', present: 6 });
});
