/** Data folders of replicas with large logs, and processes that start from them. */
import { appendFileSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import type { ChildProcess } from 'node:child_process';
import type { ExecutionContext } from 'ava';
import { HOST } from '../fuzz/loopback-daemons.js';
import { encodeRecord } from '../../src/storage/record-file.js';
import { ReplicaStorage } from '../../src/storage/replica-storage.js';
import { startProcess } from './client-crowd.js';

const KIB = 1024;
const POLL_MS = 100;

/** Half of the memory of a machine for directories, in MiB: bound of the resident memory of a process. */
export const MEMORY_BOUND_MIB = 173;

/** Creates a folder that is removed at the end of the test. */
export function temporaryFolder(t: ExecutionContext): string {
  const folder = mkdtempSync(join(tmpdir(), 'aldertide-large-log-'));
  t.teardown(() => {
    rmSync(folder, { recursive: true, force: true });
  });
  return join(folder, 'data');
}

/** Creates the data folder of a cluster's only replica. */
export async function createDataFolder(folder: string, name: string, state: unknown): Promise<void> {
  const storage = (await ReplicaStorage.open(folder, name, true)).unwrap();
  const voters = [`${name}/${storage.owner.identity}`];
  await storage.writeSnapshot({ index: 0, term: 0, membership: { voters, learners: [] } }, state);
  await storage.close();
}

/** Appends the records of commands to the log. */
export function appendCommands(folder: string, count: number, commandAt: (index: number) => unknown): void {
  for (let index = 1; index <= count; index += 1) {
    const payload = { kind: 'command', proposalId: `p${index}`, command: commandAt(index) };
    appendFileSync(join(folder, 'log'), encodeRecord({ index, term: 1, payload }));
  }
}

/** A replica that runs as a process under the heap limit of a deployment. */
export class ReplicaProcess {
  private constructor(private readonly child: ChildProcess) {}

  static async start(t: ExecutionContext, script: string, args: readonly string[]): Promise<ReplicaProcess> {
    const started = new ReplicaProcess(await startProcess(script, args));
    t.teardown(() => started.child.kill('SIGKILL'));
    return started;
  }

  /** Whether the process has ended. */
  get ended(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /** Largest resident memory so far, in MiB. */
  peakMib(): number {
    const status = readFileSync(`/proc/${this.child.pid ?? 0}/status`, 'utf8');
    return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / KIB;
  }

  /** Kills the process and waits for its end. */
  async kill(): Promise<void> {
    const ended = new Promise((resolve) => this.child.once('exit', resolve));
    this.child.kill('SIGKILL');
    await ended;
  }

  /** Waits until `isReached` holds; false if the process ended first or time is over. */
  async waitUntil(isReached: () => Promise<boolean>, timeoutMs: number): Promise<boolean> {
    const startedMs = performance.now();
    while (!this.ended && performance.now() - startedMs < timeoutMs) {
      if (await isReached()) return true;
      await delay(POLL_MS);
    }
    return false;
  }
}

/** Reads a document over HTTP; null while it is not served. */
export async function readDocument(
  port: number,
  path: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<Record<string, unknown> | null> {
  return await new Promise((resolve) => {
    const fail = (): void => {
      resolve(null);
    };
    request({ host: HOST, port, path, headers, agent: false }, (answer) => {
      const parts: Buffer[] = [];
      answer.on('data', (part: Buffer) => parts.push(part));
      answer.once('error', fail);
      answer.once('end', () => {
        const text = Buffer.concat(parts).toString('utf8');
        resolve(answer.statusCode === 200 ? (JSON.parse(text) as Record<string, unknown>) : null);
      });
    })
      .once('error', fail)
      .end();
  });
}
