/**
 * Troubles in which a back end states a request limit or its leave in its answers, alone or while the daemons on the way
 * are killed, frozen and cut off, one after the other and several times. Other troubles may overlap.
 */
import { pause } from '../pause.js';
import type { SoakBackend } from './soak-backend.js';
import type { SoakFleet, SoakMachine } from './soak-fleet.js';
import type { SignalTroubleKind, SidecarMachine, SoakTrouble } from './soak-plan.js';

/** Ways to disturb the daemon of a machine. */
export interface DaemonDisturbances {
  killAndRestart(machine: SoakMachine, downMs: number): Promise<void>;
  freeze(machine: SoakMachine, durationMs: number): Promise<void>;
  cut(machine: SoakMachine, durationMs: number): Promise<void>;
}

/** Limits that a back end names one after the other; null for none, unreadable ones state nothing. */
const LIMIT_SEQUENCES: readonly (readonly (string | null)[])[] = [
  ['4', '2.5'],
  ['0.5', '0.25'],
  ['0', '6'],
  ['12', '1'],
  ['4', 'many', '3'],
  ['2.5', null, '2.5'],
  ['0', null, '0.5'],
];

/** Time in ms for which each limit of a sequence is named. */
const LIMIT_DURATION_MS = 2_600;

/** Time in ms for which a back end keeps serving after it has first stated its leave. */
const SERVING_AFTER_LEAVE_MS = 5_500;

/** Delay in ms before a back end that has ended is replaced. */
const REPLACEMENT_MS = 800;

/** A step of a series of disturbances. */
interface SeriesStep {
  readonly afterMs: number;
  readonly at: 'backend' | 'other';
  readonly disturb: (disturbances: DaemonDisturbances, machine: SoakMachine) => Promise<void>;
}

const kill = (downMs: number): SeriesStep['disturb'] => {
  return async (disturbances, machine) => {
    await disturbances.killAndRestart(machine, downMs);
  };
};
const freeze = (durationMs: number): SeriesStep['disturb'] => {
  return async (disturbances, machine) => {
    await disturbances.freeze(machine, durationMs);
  };
};
const cut = (durationMs: number): SeriesStep['disturb'] => {
  return async (disturbances, machine) => {
    await disturbances.cut(machine, durationMs);
  };
};

/** Series of disturbances, at times in ms after the first statement. */
const SERIES: readonly (readonly SeriesStep[])[] = [
  [
    { afterMs: 400, at: 'backend', disturb: kill(150) },
    { afterMs: 1_300, at: 'backend', disturb: kill(100) },
    { afterMs: 2_300, at: 'other', disturb: kill(200) },
    { afterMs: 2_700, at: 'backend', disturb: kill(100) },
  ],
  [
    { afterMs: 500, at: 'backend', disturb: freeze(700) },
    { afterMs: 900, at: 'other', disturb: kill(100) },
    { afterMs: 1_800, at: 'backend', disturb: kill(300) },
    { afterMs: 2_900, at: 'other', disturb: freeze(900) },
  ],
  [
    { afterMs: 300, at: 'backend', disturb: cut(900) },
    { afterMs: 700, at: 'other', disturb: cut(800) },
    { afterMs: 1_500, at: 'backend', disturb: kill(100) },
    { afterMs: 2_600, at: 'backend', disturb: cut(500) },
  ],
];

/** Injects troubles by what back ends state. */
export class SoakSignalTroubles {
  constructor(
    private readonly fleet: SoakFleet,
    private readonly disturbances: DaemonDisturbances,
  ) {}

  /** Injects a trouble; resolves when it is over. */
  async inject(kind: SignalTroubleKind, { choice }: SoakTrouble): Promise<void> {
    const { sidecars } = this.fleet.plan;
    const place = sidecars[choice % sidecars.length];
    const backend = place === undefined ? undefined : this.fleet.backends.get(place.name);
    if (place === undefined || backend === undefined) return;
    const isSeries = kind === 'limit-in-series' || kind === 'told-leave-in-series';
    const series = isSeries ? this.playSeries(place, choice) : Promise.resolve();
    if (kind === 'name-limit' || kind === 'limit-in-series') await this.nameLimits(backend, choice);
    else await this.stateLeave(place, backend);
    await series;
  }

  private async nameLimits({ signals }: SoakBackend, choice: number): Promise<void> {
    for (const limit of LIMIT_SEQUENCES[choice % LIMIT_SEQUENCES.length] ?? []) {
      signals.stateLimit(limit);
      await pause(LIMIT_DURATION_MS);
    }
    signals.stateLimit(null);
  }

  private async stateLeave(place: SidecarMachine, backend: SoakBackend): Promise<void> {
    backend.signals.statesLeave = true;
    await pause(SERVING_AFTER_LEAVE_MS);
    if (this.fleet.backends.get(place.name) !== backend) return;
    await backend.crash();
    await pause(REPLACEMENT_MS);
    if (this.fleet.backends.get(place.name) === backend) await this.fleet.startBackend(place);
  }

  private async playSeries(place: SidecarMachine, choice: number): Promise<void> {
    const { sidecars } = this.fleet;
    const beside = sidecars.find(({ name }) => name === place.name);
    const others = sidecars.filter(({ name }) => name !== place.name);
    const other = others[choice % others.length];
    const steps = SERIES[choice % SERIES.length] ?? [];
    await Promise.all(
      steps.map(async ({ afterMs, at, disturb }) => {
        await pause(afterMs);
        const machine = at === 'backend' ? beside : other;
        if (machine === undefined || machine.troubled) return;
        machine.troubled = true;
        await disturb(this.disturbances, machine);
        machine.troubled = false;
      }),
    );
  }
}
