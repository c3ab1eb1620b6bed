/** A sidecar between a directory and a back end that a test plays, with a manual clock. */
import { freePort } from '../loopback.js';
import type { DirectoryChange } from '../../src/directory/directory-commands.js';
import type { DirectoryNotice, DirectoryRequest } from '../../src/directory/directory-messages.js';
import type { DirectorySnapshot, KeyRange } from '../../src/directory/directory-state.js';
import type { ClientHandlers, Runtime } from '../../src/runtime/runtime.js';
import type { BackendIdentity } from '../../src/sidecar/backend-report.js';
import { DEFAULT_HEADER_DIALECT } from '../../src/sidecar/header-dialect.js';
import { SidecarNode } from '../../src/sidecar/sidecar-node.js';
import { SILENT_EVENT_LOG } from '../../src/telemetry/event-log.js';
import { NO_LATENCIES } from '../../src/telemetry/latencies.js';
import { ManualTime } from './manual-runtime.js';

/** Service of the back end. */
export const SERVICE = 'stock';
/** Session of its lease. */
export const SESSION = 9;
const LEASE_MS = 9_500;

/** Runs the callbacks of promises that are settled. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
}

/** The sidecar's surroundings. */
export class World {
  readonly time = new ManualTime();
  readonly sent: DirectoryRequest[] = [];
  listens = true;
  /** Answer of the back end's address to an identity probe; null for no answer. */
  identity: BackendIdentity | null = null;
  /** Evacuated zones in the tables sent from now on. */
  evacuatedZones: string[] = [];
  callersPort = 0;
  private handlers: ClientHandlers | null = null;
  private index = 0;

  constructor(readonly node: SidecarNode | null = null) {}

  async start(): Promise<SidecarNode> {
    const runtime: Runtime = {
      ...this.time.runtime,
      dial: (_address, _identity, handlers) => {
        this.handlers = handlers;
        return {
          send: (message) => {
            this.sent.push(message as DirectoryRequest);
            return true;
          },
          sendEncoded: () => false,
          traffic: () => ({ bytesSent: 0, bytesReceived: 0 }),
          stop: () => undefined,
        };
      },
    };
    const [callers, links, backend] = [await freePort(), await freePort(), await freePort()];
    this.callersPort = callers;
    const started = await SidecarNode.start({
      settings: {
        name: 'sidecar',
        zone: 'z',
        callers: { host: '127.0.0.1', port: callers },
        links: { host: '127.0.0.1', port: links },
        advertisedLinks: { host: '127.0.0.1', port: links },
        dialFrom: null,
        backend: { host: '127.0.0.1', port: backend },
        service: SERVICE,
        seeds: ['127.0.0.1:1'],
        grantMode: 'heartbeat',
        holdMs: 6_000,
        drainMs: 2_000,
        graceMs: 6_000,
        retryBudget: { ratio: 0.2, extra: 60, windowMs: 10_000 },
        coldStartBound: { factor: 1.5, slack: 8 },
        evacuationMs: 5_000,
        dialect: DEFAULT_HEADER_DIALECT,
        linkBytesPerMs: Infinity,
      },
      token: 'token',
      runtime,
      log: SILENT_EVENT_LOG,
      calls: {
        identify: async () => await Promise.resolve(this.identity),
        grant: async () => await Promise.resolve('granted'),
        release: async () => await Promise.resolve(''),
      },
      random: () => 0,
      latencies: NO_LATENCIES,
      backendListens: async () => await Promise.resolve(this.listens),
    });
    return started.unwrap();
  }

  notify(notice: DirectoryNotice): void {
    this.handlers?.onMessage(notice);
  }

  table(ranges: readonly KeyRange[]): void {
    this.index += 1;
    const service = {
      maxConnections: 9,
      keyed: true,
      grantMode: null,
      coldStart: { durationMs: 3_000, requestsPerSecond: 14 },
      healthPath: '/health',
    };
    const item = { kind: 'service', name: SERVICE, version: 1, source: null, definition: service } as const;
    const table: DirectorySnapshot = {
      items: [item],
      revision: 0,
      configured: true,
      accepted: [],
      instances: [],
      ranges: [{ service: SERVICE, ranges }],
      evacuatedZones: this.evacuatedZones,
    };
    this.notify({ kind: 'table', index: this.index, table });
  }

  change(changes: readonly DirectoryChange[]): void {
    this.index += 1;
    this.notify({ kind: 'changes', index: this.index, changes });
  }

  lease(): void {
    const sentMs = this.time.nowMs;
    this.notify({ kind: 'registered', id: 'one', session: SESSION, sentMs, termMs: LEASE_MS, index: 0 });
  }

  kinds(): string[] {
    return this.sent.map(({ kind }) => kind);
  }

  /** Passes time in steps. */
  async pass(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 50) {
      this.time.pass(Math.min(50, ms - passed));
      await settle();
    }
  }

  async stop(node: SidecarNode): Promise<void> {
    const stopping = node.stop();
    await this.pass(7_000);
    await stopping;
  }
}
