/** A simulated back end: the grant table and request gate of the stand-in back end, on virtual time. */
import type { BackendCallError, BackendPort } from '../../src/agent/backend-port.js';
import { HolderName } from '../../src/agent/holder-name.js';
import type { Claim, Grant, HolderAnswer, RefusalCode } from '../../src/backend-contract/grant-messages.js';
import { Err, Ok, type Result } from '../../src/result.js';
import { type BackendClocks, GrantTable } from '../backend/grant-table.js';
import { RequestGate, type StoredAnswer } from '../backend/request-gate.js';
import type { ExecutionRecord } from '../journal.js';
import type { Random } from '../random.js';
import type { SimProcess } from './sim-process.js';

const SLOTS = 6;
const REPEAT_HORIZON_MS = 30_000;
const MAX_WORK_MS = 12;
const LOCAL_CALL_MS = 0.2;
const CALL_TIMEOUT_MS = 500;
const RELEASE_TIMEOUT_MS = 10_000;
const HTTP_CONFLICT = 409;

/** A request as a back end receives it. */
export interface BackendRequest {
  readonly shard: number;
  readonly epoch: number;
  readonly key: string;
  readonly sendingId: string;
  /** Null for a lookup. */
  readonly idempotencyKey: string | null;
}

/** Answer of a back end to a request. */
export type BackendAnswer =
  { readonly kind: 'answered' } | { readonly kind: 'refused'; readonly code: RefusalCode };

/** Creates the grant table; variants simulate a back end without a guard. */
export type GrantTableFactory = (clocks: BackendClocks) => GrantTable;

/** Creates a grant table with all guards. */
export const createGrantTable: GrantTableFactory = (clocks) => new GrantTable(clocks, REPEAT_HORIZON_MS);

/** One back end across all its incarnations. */
export class SimBackend {
  grants: GrantTable;
  /** Additional delay in ms until a call sent now takes effect. */
  callDelayMs = 0;
  /** What this incarnation states about itself in its answers to the agent. */
  statements: Pick<HolderAnswer, 'requestLimit' | 'leaving'> = {};
  private gate: RequestGate;
  private bornMs = 0;
  private readonly load = new Map<number, number>();

  constructor(
    readonly name: string,
    readonly service: string,
    readonly process: SimProcess,
    private readonly random: Random,
    private readonly createGrants: GrantTableFactory,
    private readonly record: (execution: ExecutionRecord) => void,
  ) {
    this.grants = this.createGrants(this.process.clocks());
    this.gate = new RequestGate(this.grants, SLOTS);
  }

  /** Starts a new incarnation without grants. */
  start(): void {
    // Two incarnations of a back end never have the same start time, although simulated clocks can step.
    this.bornMs = Math.max(this.bornMs + 1, Math.floor(this.process.wallMs()));
    this.grants = this.createGrants(this.process.clocks());
    this.gate = new RequestGate(this.grants, SLOTS);
    this.statements = {};
    this.process.start();
  }

  /** Serves a request; `answer` is called once, or never if this incarnation ends first. */
  serve(request: BackendRequest, answer: (given: BackendAnswer) => void): void {
    const { shard, epoch, idempotencyKey } = request;
    this.load.set(shard, (this.load.get(shard) ?? 0) + 1);
    const gateRequest = { fence: { shard, epoch }, claimKey: idempotencyKey, wallMs: this.process.wallMs() };
    const admission = this.gate.begin(gateRequest);
    if (admission.kind === 'refused') {
      answer({ kind: 'refused', code: admission.code });
      return;
    }
    if (admission.kind === 'replay') {
      answer({ kind: 'answered' });
      return;
    }
    this.process.schedule(this.random.fraction() * MAX_WORK_MS, () => {
      const done = admission.work.finish(false, () => this.execute(request));
      answer(done === null ? { kind: 'refused', code: 'lease-expired' } : { kind: 'answered' });
    });
  }

  /** Creates the port through which an agent on the same machine calls the back end. */
  createPort(agent: SimProcess, agentInstance: string): BackendPort {
    return new SimBackendPort(this, agent, agentInstance);
  }

  /** Returns the status that the agent's calls are answered with, and resets the load counters. */
  holderAnswer(): HolderAnswer {
    const load = [...this.load];
    this.load.clear();
    const { name: instance, bornMs, statements } = this;
    return { instance, bornMs, load, inFlight: this.gate.inFlight, ...statements };
  }

  /** Sets whether requests without a fence are refused. */
  setDraining(draining: boolean): void {
    this.gate.draining = draining;
  }

  private execute({ shard, epoch, key, sendingId, idempotencyKey }: BackendRequest): StoredAnswer {
    this.record({
      kind: 'execution',
      atMs: this.process.nowTrueMs(),
      backend: this.name,
      service: this.service,
      shard,
      epoch,
      key,
      sendingId,
      idempotencyKey,
      repeatable: idempotencyKey === null,
    });
    return { status: 200, contentType: 'text/plain', body: '' };
  }
}

type CallResult<T> = Result<T, BackendCallError>;

class SimBackendPort implements BackendPort {
  private readonly holder: HolderName;

  constructor(
    private readonly backend: SimBackend,
    private readonly agent: SimProcess,
    agentInstance: string,
  ) {
    this.holder = new HolderName(agentInstance);
  }

  takeHolder(): Promise<CallResult<HolderAnswer>> {
    const holder = this.holder.next();
    return this.call(RELEASE_TIMEOUT_MS, async (backend) => {
      await backend.grants.takeHolder(holder);
      return Ok(backend.holderAnswer());
    });
  }

  extendLease(deadlineMs: number): Promise<CallResult<HolderAnswer>> {
    return this.callAsHolder((backend) => {
      backend.grants.extend(deadlineMs);
      return backend.holderAnswer();
    });
  }

  addGrants(deadlineMs: number, grants: readonly Grant[]): Promise<CallResult<unknown>> {
    return this.callAsHolder((backend) => {
      backend.grants.extend(deadlineMs);
      backend.grants.add(grants);
    });
  }

  revoke(shards: readonly number[]): Promise<CallResult<unknown>> {
    return this.callAsHolder((backend) => {
      backend.grants.revoke(shards);
    });
  }

  release(shard: number, epoch: number): Promise<CallResult<{ window: Claim[] }>> {
    const holder = this.holder.current;
    return this.call(RELEASE_TIMEOUT_MS, async (backend) => {
      if (!backend.grants.isHolder(holder)) return refused();
      const window = await backend.grants.release(shard, epoch);
      return window === null ? refused() : Ok({ window: window.export() });
    });
  }

  setDraining(draining: boolean): Promise<CallResult<unknown>> {
    return this.callAsHolder((backend) => {
      backend.setDraining(draining);
    });
  }

  async close(): Promise<void> {
    await Promise.resolve();
  }

  private callAsHolder<T>(run: (backend: SimBackend) => T): Promise<CallResult<T>> {
    const holder = this.holder.current;
    return this.call(CALL_TIMEOUT_MS, (backend) => {
      const isHolder = backend.grants.isHolder(holder);
      return Promise.resolve(isHolder ? Ok(run(backend)) : refused());
    });
  }

  /** A call that timed out may still take effect when a frozen back end resumes. */
  private async call<T>(
    timeoutMs: number,
    run: (backend: SimBackend) => Promise<CallResult<T>>,
  ): Promise<CallResult<T>> {
    return await new Promise((resolve) => {
      const { process } = this.backend;
      if (!process.alive) {
        this.agent.schedule(LOCAL_CALL_MS, () => {
          resolve(Err({ kind: 'gone' }));
        });
        return;
      }
      process.schedule(LOCAL_CALL_MS + this.backend.callDelayMs, () => {
        void run(this.backend).then((result) => {
          this.agent.schedule(LOCAL_CALL_MS, () => {
            resolve(result);
          });
        });
      });
      this.agent.schedule(timeoutMs, () => {
        resolve(Err({ kind: 'no-answer', detail: 'timed out' }));
      });
    });
  }
}

function refused(): CallResult<never> {
  return Err({ kind: 'refused', status: HTTP_CONFLICT });
}
