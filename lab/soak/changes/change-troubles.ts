/** Injects the troubles of a soak of changes; each ends after a number of answered changes. */
import { pause } from '../../pause.js';
import { degradeLinks, loseDisk } from '../machine-disturbances.js';
import type { SoakFleet, SoakMachine } from '../soak-fleet.js';
import type { ChangeJournal } from './change-journal.js';
import { DIRECTORY_TROUBLES, type ChangeTroubleKind, type PlannedTrouble } from './change-plan.js';
import { directoryProgress, type DirectoryProgress } from './directory-progress.js';
import type { DirectoryWatch } from './directory-watch.js';

const POLL_MS = 20;
const PROGRESS_POLL_MS = 250;

/** Time in ms after which a trouble ends although fewer changes were answered than planned. */
const MAX_TROUBLE_MS = 10_000;

/** Delay in ms and bandwidth in bytes per ms (4 Mbit/s) of a slow link. */
const SLOW_LINK = { delayMs: 40, bytesPerMs: 500 };

/** Time in ms between two resets of a machine's connections. */
const RESET_INTERVAL_MS = 1_500;

const RESTART_MS = 300;

const LOSSES: ReadonlySet<ChangeTroubleKind> = new Set(DIRECTORY_TROUBLES);

/** What troubles depend on. */
export interface TroublePorts {
  readonly fleet: SoakFleet;
  readonly watch: DirectoryWatch;
  readonly journal: ChangeJournal;
  /** Number of changes answered so far. */
  readonly answered: () => number;
  /** Whether no further changes follow. */
  readonly isOver: () => boolean;
}

/** Injects series of troubles. */
export class ChangeTroubles {
  readonly records: string[] = [];
  private freeLosses: number;

  constructor(private readonly ports: TroublePorts) {
    this.freeLosses = ports.fleet.plan.toleratedLosses;
  }

  /** Plays one series; resolves when its last trouble is over. */
  async play(series: readonly PlannedTrouble[]): Promise<void> {
    for (const trouble of series) {
      await this.until(() => this.ports.answered() >= trouble.fromChange, Infinity);
      if (this.ports.isOver()) return;
      if (LOSSES.has(trouble.kind)) await this.loseDirectory(trouble);
      else await this.disturb(trouble);
    }
  }

  /** Takes one directory from the others, at most as many at a time as the deployment tolerates. */
  private async loseDirectory(trouble: PlannedTrouble): Promise<void> {
    await this.until(() => this.freeLosses > 0, Infinity);
    if (this.ports.isOver()) return;
    this.freeLosses -= 1;
    const machine = this.targetOf(trouble);
    machine.troubled = true;
    const end = this.begin(trouble.kind, machine.name);
    await this.lose(machine, trouble);
    end();
    await this.caughtUp(machine);
    machine.troubled = false;
    this.freeLosses += 1;
  }

  private async lose(machine: SoakMachine, trouble: PlannedTrouble): Promise<void> {
    const { fleet, watch } = this.ports;
    switch (trouble.kind) {
      case 'stop':
        machine.process.signal('SIGSTOP');
        await this.lasts(trouble);
        machine.process.signal('SIGCONT');
        return;
      case 'kill':
      case 'lose-disk':
        await watch.kill(machine);
        if (trouble.kind === 'lose-disk') loseDisk(machine);
        await this.lasts(trouble);
        watch.start(machine);
        return;
      default: {
        const directions =
          trouble.kind === 'cut' ? 'both' : trouble.kind === 'cut-outgoing' ? 'outgoing' : 'incoming';
        const clear = degradeLinks(fleet, machine, directions, { held: true });
        await this.lasts(trouble);
        clear();
      }
    }
  }

  private async disturb(trouble: PlannedTrouble): Promise<void> {
    const { fleet } = this.ports;
    const { kind } = trouble;
    if (kind === 'kill-all') {
      const end = this.begin(kind, 'all');
      await this.killAll();
      end();
      return;
    }
    const machine = this.targetOf(trouble);
    const end = this.begin(kind, machine.name);
    if (kind === 'slow-link') {
      // The links of a directory that is cut off stay as they are.
      machine.troubled = true;
      const clear = degradeLinks(fleet, machine, 'both', SLOW_LINK);
      await this.lasts(trouble);
      clear();
      machine.troubled = false;
    } else {
      const reset = setInterval(() => {
        fleet.network.reset(machine.name);
      }, RESET_INTERVAL_MS);
      await this.lasts(trouble);
      clearInterval(reset);
    }
    end();
  }

  /** Kills all directories that are running, and starts them again. */
  private async killAll(): Promise<void> {
    const { fleet, watch } = this.ports;
    await Promise.all(
      fleet.directories.map(async (machine) => {
        if (!(await watch.kill(machine))) return;
        await pause(RESTART_MS);
        watch.start(machine);
      }),
    );
  }

  private begin(kind: ChangeTroubleKind, target: string): () => void {
    const { journal, answered } = this.ports;
    const from = answered();
    journal.record('trouble', { kind, target, from });
    return () => {
      journal.record('trouble-over', { kind, target, to: answered() });
      this.records.push(`${kind} of ${target} over ${answered() - from}`);
    };
  }

  private targetOf({ choice }: PlannedTrouble): SoakMachine {
    const { fleet } = this.ports;
    const leader = fleet.leader();
    if (choice === null && leader?.troubled === false) return leader;
    const free = fleet.directories.filter(({ troubled }) => !troubled);
    const machine = free[(choice ?? 0) % free.length];
    if (machine === undefined) throw new Error('invariant broken: more directories are lost than tolerated');
    return machine;
  }

  private async lasts({ changes }: PlannedTrouble): Promise<void> {
    const until = this.ports.answered() + changes;
    await this.until(() => this.ports.answered() >= until, MAX_TROUBLE_MS);
  }

  /** Resolves once a condition holds, the changes are over, or the time limit in ms is reached. */
  private async until(holds: () => boolean, limitMs: number): Promise<void> {
    const endMs = performance.now() + limitMs;
    while (!holds() && !this.ports.isOver() && performance.now() < endMs) await pause(POLL_MS);
  }

  /**
   * Resolves once a directory has applied what others had when this began, and no voter is missing on its account: until then
   * the loss of another disk might leave too few voters.
   */
  private async caughtUp(machine: SoakMachine): Promise<void> {
    const goal = Math.max(...(await this.progress()).map(({ appliedIndex }) => appliedIndex));
    while (!this.ports.isOver()) {
      const own = await directoryProgress(machine.ip);
      if (own !== null && own.appliedIndex >= goal && (own.votes || (await this.allVote()))) return;
      await pause(PROGRESS_POLL_MS);
    }
  }

  private async allVote(): Promise<boolean> {
    const progress = await this.progress();
    const leader = progress.find(({ leads }) => leads);
    return leader !== undefined && progress.filter(({ votes }) => votes).length >= leader.voters;
  }

  private async progress(): Promise<DirectoryProgress[]> {
    const { directories } = this.ports.fleet;
    const progress = await Promise.all(directories.map(async ({ ip }) => await directoryProgress(ip)));
    return progress.filter((one) => one !== null);
  }
}
