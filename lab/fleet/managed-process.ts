/** A process that the lab started; signals go to its pid and to no other. */
import { spawn, type ChildProcess } from 'node:child_process';
import { openSync, closeSync } from 'node:fs';

/** Time in ms that a process has to stop cleanly before it is killed. */
const STOP_TIMEOUT_MS = 15_000;

/** A process of a fleet. */
export class ManagedProcess {
  private child: ChildProcess | null = null;
  private exited: Promise<number | null> = Promise.resolve(null);

  constructor(
    readonly name: string,
    private readonly given: readonly string[],
    private readonly logFile: string,
    /** Variables beside those of this process. */
    private readonly environment: Readonly<Record<string, string>> = {},
  ) {}

  /** Whether it runs, frozen or not. */
  get running(): boolean {
    return this.child?.exitCode === null && this.child.signalCode === null;
  }

  /** Pid of the present process. */
  get pid(): number | undefined {
    return this.child?.pid;
  }

  /** Starts it; its output goes to the end of the log file. */
  start(): void {
    const log = openSync(this.logFile, 'a');
    const env = { ...process.env, ...this.environment };
    const child = spawn(process.execPath, [...this.given], { stdio: ['ignore', log, log], env });
    closeSync(log);
    this.child = child;
    this.exited = new Promise((resolve) => {
      child.once('exit', (code) => {
        resolve(code);
      });
    });
  }

  /** Sends a signal if it runs. */
  signal(signal: NodeJS.Signals): void {
    if (this.running) this.child?.kill(signal);
  }

  /** Waits until it has ended by itself; returns its exit code, null after a signal. */
  async finished(): Promise<number | null> {
    return await this.exited;
  }

  /** Kills it at once and waits until it is gone. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }

  /** Asks it to stop, waits, and kills it only when it does not; returns its exit code. */
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
