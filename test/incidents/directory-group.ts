/** Five directories as processes of the bundled program, each started again on its data whenever it ends by itself. */
import { execFileSync } from 'node:child_process';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { DAEMON_NODE_OPTIONS } from '../../lab/fleet/daemon-options.js';
import { ManagedProcess } from '../../lab/fleet/managed-process.js';
import { pause } from '../../lab/pause.js';
import { renderSettings, STAND_IN_PORTS } from '../../platform/stand-in-wire.js';
import type { SocketAddress } from '../../src/model/socket-address.js';
import { PlayError } from './configuration-operator.js';

/** Root of the repository, as seen from the compiled file. */
const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

const DIRECTORIES = 5;
const TOLERATED_LOSSES = 1;

/** Memory of a directory's machine, in MB. */
const MACHINE_MB = 346;
const BYTES_PER_KB = 1024;

/** Interval between two readings of the processes' memory, in ms. */
const MEMORY_INTERVAL_MS = 100;

const METRICS_PORT = 7_900;

/** Number of loopback networks, for files of tests that run in parallel. */
const NETWORKS = 200;

/** Time in ms after which a member that has not applied a version counts as unable to catch up. */
const CATCH_UP_MS = 40_000;
const CATCH_UP_CHECK_MS = 200;

/** A directory of a group. */
export interface GroupMember {
  readonly name: string;
  readonly ip: string;
  readonly process: ManagedProcess;
  readonly dataFolder: string;
  /** Number of times that the process ended without an order of the test. */
  ends: number;
  /** Largest resident memory of any of its processes, in bytes. */
  peakBytes: number;
  /** Whether the test has stopped or killed the process. */
  isHeld: boolean;
}

/** The running directories of one test. */
export class DirectoryGroup {
  readonly members: readonly GroupMember[];
  private readonly folder = mkdtempSync(join(tmpdir(), 'aldertide-group-'));
  private readonly program = join(this.folder, 'aldertide.cjs');
  private memoryTimer: NodeJS.Timeout | undefined;
  private isDown = false;

  constructor() {
    execFileSync(process.execPath, ['deploy/build.mjs', '--out', this.program], {
      cwd: ROOT,
      stdio: 'ignore',
    });
    this.members = Array.from({ length: DIRECTORIES }, (_, at) => this.addMember(at + 1));
  }

  /** Addresses for operators. */
  get addresses(): SocketAddress[] {
    return this.members.map(({ ip }) => ({ host: ip, port: STAND_IN_PORTS.control }));
  }

  /** Number of times that processes ended without an order of the test. */
  get ends(): number {
    return this.members.reduce((sum, { ends }) => sum + ends, 0);
  }

  /** Starts all members for the first time. */
  start(): void {
    for (const member of this.members) this.run(member, true);
    this.memoryTimer = setInterval(() => {
      for (const member of this.members) readPeak(member);
    }, MEMORY_INTERVAL_MS);
  }

  /** Kills all processes and removes their data. */
  async down(): Promise<void> {
    this.isDown = true;
    clearInterval(this.memoryTimer);
    await Promise.all(this.members.map(async ({ process }) => await process.kill()));
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Stops a process as a suspension of its machine would. */
  suspend(member: GroupMember): void {
    member.isHeld = true;
    member.process.signal('SIGSTOP');
  }

  /** Continues a stopped process. */
  resume(member: GroupMember): void {
    member.process.signal('SIGCONT');
    member.isHeld = false;
  }

  /** Kills a process, which stays down until `restart`. */
  async kill(member: GroupMember): Promise<void> {
    member.isHeld = true;
    await member.process.kill();
  }

  /** Starts a killed process, on its data or with an empty disk. */
  restart(member: GroupMember, losesData = false): void {
    if (losesData) rmSync(member.dataFolder, { recursive: true });
    mkdirSync(member.dataFolder, { recursive: true });
    member.isHeld = false;
    this.run(member, false);
  }

  /** Returns the text of a member's log. */
  logOf({ name }: GroupMember): string {
    return readFileSync(this.logFile(name), 'utf8');
  }

  /** Waits until a member has applied a version of the configuration. */
  async untilApplied(member: GroupMember, version: number): Promise<void> {
    const deadlineMs = performance.now() + CATCH_UP_MS;
    while ((await appliedVersion(member)) < version) {
      if (performance.now() > deadlineMs) throw new PlayError(`${member.name} stays behind`);
      await pause(CATCH_UP_CHECK_MS);
    }
  }

  private run(member: GroupMember, isFirstStart: boolean): void {
    writeFileSync(this.settingsFile(member.name), this.settingsOf(member, isFirstStart));
    member.process.start();
    void member.process.finished().then(() => {
      if (member.isHeld || this.isDown) return;
      member.ends += 1;
      this.run(member, false);
    });
  }

  private addMember(number: number): GroupMember {
    const name = `directory-${number}`;
    const dataFolder = join(this.folder, `${name}-data`);
    mkdirSync(dataFolder);
    const environment = { ALDERTIDE_SETTINGS: this.settingsFile(name) };
    const command = [...DAEMON_NODE_OPTIONS, this.program, 'directory'];
    const child = new ManagedProcess(name, command, this.logFile(name), environment);
    const ip = `127.24.${1 + (process.pid % NETWORKS)}.${number}`;
    return { name, ip, process: child, dataFolder, ends: 0, peakBytes: 0, isHeld: false };
  }

  private settingsOf({ name, ip, dataFolder }: GroupMember, firstStart: boolean): string {
    return renderSettings({
      name,
      zone: 'zone',
      zones: ['zone'],
      ip,
      advertisedIp: ip,
      seeds: this.addresses,
      firstStart,
      toleratedLosses: TOLERATED_LOSSES,
      grantMode: 'invoke',
      backend: null,
      dataFolder,
      memoryMb: MACHINE_MB,
      metrics: `${METRICS_PORT}/metrics`,
    });
  }

  private settingsFile(name: string): string {
    return join(this.folder, `${name}.toml`);
  }

  private logFile(name: string): string {
    return join(this.folder, `${name}.log`);
  }
}

/** Reads the high-water mark of the resident memory that the system keeps for each process. */
function readPeak(member: GroupMember): void {
  const { pid, running } = member.process;
  if (!running || pid === undefined) return;
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const kilobytes = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
    member.peakBytes = Math.max(member.peakBytes, kilobytes * BYTES_PER_KB);
  } catch {
    // The process ended between the check and the reading.
  }
}

/** Version of the configuration in a member's own state; -1 if it doesn't answer. */
async function appliedVersion({ ip }: GroupMember): Promise<number> {
  try {
    const answer = await fetch(`http://${ip}:${METRICS_PORT}/metrics`, {
      signal: AbortSignal.timeout(5_000),
    });
    return Number(/configuration_revision (\d+)/.exec(await answer.text())?.[1] ?? -1);
  } catch {
    return -1;
  }
}
