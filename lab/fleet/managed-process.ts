/** Child process of the lab; signals are sent only to its own pid. */
import { spawn, type ChildProcess } from 'node:child_process';
import { openSync, closeSync } from 'node:fs';

/** Time in ms after which a process that has not stopped cleanly is killed. */
const STOP_TIMEOUT_MS = 15_000;

/** Process of a fleet, which can be started again after it has ended. */
export class ManagedProcess {
  private child: ChildProcess | null = null;
  private exited: Promise<number | null> = Promise.resolve(null);

  constructor(
    readonly name: string,
    private readonly programArguments: readonly string[],
    private readonly logFile: string,
    /** Environment variables added to those of this process. */
    private readonly environment: Readonly<Record<string, string>> = {},
  ) {}

  /** Whether the process is running; true also while it is frozen. */
  get running(): boolean {
    return this.child?.exitCode === null && this.child.signalCode === null;
  }

  /** Pid of the process started last. */
  get pid(): number | undefined {
    return this.child?.pid;
  }

  /** How the process started last has ended; null while it is running. */
  get ending(): string | null {
    const { exitCode = null, signalCode = null } = this.child ?? {};
    if (signalCode !== null) return `signal ${signalCode}`;
    return exitCode === null ? null : `exit code ${exitCode}`;
  }

  /** Starts the process; its output is appended to the log file. */
  start(): void {
    const log = openSync(this.logFile, 'a');
    const env = { ...process.env, ...this.environment };
    const child = spawn(process.execPath, [...this.programArguments], { stdio: ['ignore', log, log], env });
    closeSync(log);
    this.child = child;
    this.exited = new Promise((resolve) => {
      child.once('exit', (code) => {
        resolve(code);
      });
    });
  }

  /** Sends a signal if the process is running. */
  signal(signal: NodeJS.Signals): void {
    if (this.running) this.child?.kill(signal);
  }

  /** Waits until the process has ended; returns its exit code, null after a signal. */
  async finished(): Promise<number | null> {
    return await this.exited;
  }

  /** Kills the process and waits until it has ended. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }

  /** Sends SIGTERM, kills the process after `STOP_TIMEOUT_MS`, and returns its exit code. */
  async stop(): Promise<number | null> {
    if (!this.running) return await this.exited;
    this.signal('SIGCONT');
    this.signal('SIGTERM');
    const timer = setTimeout(() => {
      this.signal('SIGKILL');
    }, STOP_TIMEOUT_MS);
    const code = await this.exited;
    clearTimeout(timer);
    return code;
  }
}
