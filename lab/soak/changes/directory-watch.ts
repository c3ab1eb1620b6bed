/** Watches the processes of a soak of changes: ends that nobody ordered, and the peak of their memory. */
import { readFileSync } from 'node:fs';
import { pause } from '../../pause.js';
import type { SoakFleet, SoakMachine } from '../soak-fleet.js';
import type { ChangeJournal } from './change-journal.js';
import type { ChangeJudge } from './change-judge.js';

/** Interval in ms between samples of the memory; the kernel's peak includes what lies between them. */
const SAMPLE_MS = 200;

/** Delay in ms before a process that ended by itself is started again, as a platform does. */
const RESTART_MS = 500;

const BYTES_PER_KB = 1_024;

/** Starts and kills the processes of a fleet, and watches them. */
export class DirectoryWatch {
  /** Ends that nobody ordered. */
  ends = 0;
  /** Peak of the resident memory in bytes by machine, over all its processes. */
  readonly peakBytes = new Map<string, number>();
  private readonly ordered = new Set<string>();
  private readonly timer: NodeJS.Timeout;
  private isDown = false;

  constructor(
    private readonly fleet: SoakFleet,
    private readonly judge: ChangeJudge,
    private readonly journal: ChangeJournal,
  ) {
    this.timer = setInterval(() => {
      for (const machine of this.machines) this.sample(machine);
    }, SAMPLE_MS);
  }

  /** Begins to watch the processes that the fleet has started. */
  begin(): void {
    for (const machine of this.machines) void this.watch(machine);
  }

  /** Kills a process and waits for its end; returns false if it was not running. */
  async kill(machine: SoakMachine): Promise<boolean> {
    if (!machine.process.running) return false;
    this.sample(machine);
    this.ordered.add(machine.name);
    await machine.process.kill();
    return true;
  }

  /** Starts a process that was killed. */
  start(machine: SoakMachine): void {
    if (this.isDown || machine.process.running) return;
    this.ordered.delete(machine.name);
    this.fleet.start(machine);
    void this.watch(machine);
  }

  /** Ends the watch. */
  stop(): void {
    for (const machine of this.machines) this.sample(machine);
    this.isDown = true;
    clearInterval(this.timer);
  }

  private get machines(): readonly SoakMachine[] {
    return [...this.fleet.directories, ...this.fleet.sidecars];
  }

  private async watch(machine: SoakMachine): Promise<void> {
    await machine.process.finished();
    if (this.isDown || this.ordered.has(machine.name)) return;
    const ending = machine.process.ending ?? 'unknown';
    this.ends += 1;
    this.journal.record('process-ended', { machine: machine.name, ending });
    this.judge.report('process-ended', `${machine.name} ended by itself with ${ending}`);
    await pause(RESTART_MS);
    this.start(machine);
  }

  private sample({ name, process }: SoakMachine): void {
    if (!process.running || process.pid === undefined) return;
    const bytes = peakBytesOf(process.pid);
    if (bytes > (this.peakBytes.get(name) ?? 0)) this.peakBytes.set(name, bytes);
  }
}

/** Peak of the resident memory of a process since its start (`VmHWM` in proc(5)); 0 if it has ended. */
function peakBytesOf(pid: number): number {
  try {
    const match = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
    return Number(match?.[1] ?? 0) * BYTES_PER_KB;
  } catch {
    return 0;
  }
}
