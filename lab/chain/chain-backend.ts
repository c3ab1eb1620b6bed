/** A simulated back end: works, calls the next service through its daemon, and answers. */
import type { RequestHead } from '../../src/link/link-messages.js';
import type { BackendClient, PreparedRun } from '../../src/sidecar/backend-client.js';
import type { RunPorts } from '../../src/sidecar/backend-run.js';
import type { Random } from '../random.js';
import type { ChainDaemon } from './chain-daemon.js';
import type { ChainReport } from './chain-report.js';
import { callPath, callerPath } from './chain-settings.js';
import type { ChainCalls, ChainSpec, WorkSpec } from './chain-spec.js';
import type { ChainTime } from './chain-time.js';

/** Speed factors of back ends; each back end draws one. */
const SPEEDS = [0.75, 1, 1.25] as const;

/** Minimum and spread of the random factor of the mean work. */
const MIN_WORK_FACTOR = 0.5;
const WORK_FACTOR_SPREAD = 1;

const SUCCESS_STATUS = 200;
const FAILURE_STATUS = 500;

/** Dependencies of a back end. */
export interface ChainBackendPorts {
  readonly spec: ChainSpec;
  readonly time: ChainTime;
  readonly random: Random;
  readonly report: ChainReport;
  /** The daemon that accepts its calls. */
  readonly daemon: ChainDaemon;
}

/** A simulated back end that answers requests after the work and the calls of its service. */
export class ChainBackend implements BackendClient {
  readonly opened = 0;
  private readonly speed: number;

  constructor(private readonly ports: ChainBackendPorts) {
    this.speed = ports.random.pick(SPEEDS);
  }

  /** See `BackendClient`. */
  prepare(head: RequestHead, _body: Buffer, leftMs: number, ports: RunPorts): PreparedRun {
    return new ChainRun(this.ports, this.speed, this.workOf(head), leftMs, ports);
  }

  /** See `BackendClient`. */
  destroy(): void {
    // There are no connections to close.
  }

  private workOf({ path }: RequestHead): WorkSpec {
    const { spec } = this.ports;
    const service = spec.services.find(({ name }) => path === callerPath(name));
    return service ?? { workMs: spec.call.workMs, calls: null };
  }
}

/** One request at a back end; it occupies its slot while it calls the next service. */
class ChainRun implements PreparedRun {
  private readonly expiresAtMs: number;
  private ended = false;

  constructor(
    private readonly ports: ChainBackendPorts,
    private readonly speed: number,
    private readonly work: WorkSpec,
    leftMs: number,
    private readonly run: RunPorts,
  ) {
    this.expiresAtMs = ports.time.queue.nowMs + leftMs;
  }

  /** See `PreparedRun`. */
  start(): void {
    const { time, random } = this.ports;
    time.runtime.after(this.expiresAtMs - time.queue.nowMs, () => {
      this.expire();
    });
    const { workMs, calls } = this.work;
    const ms = (workMs * (MIN_WORK_FACTOR + WORK_FACTOR_SPREAD * random.fraction())) / this.speed;
    time.runtime.after(ms, () => {
      this.callNext(calls !== null && random.fraction() < calls.share ? calls : null, 0);
    });
  }

  /** See `PreparedRun`. */
  cancel(): void {
    this.ended = true;
  }

  private callNext(calls: ChainCalls | null, callsMade: number): void {
    if (this.ended) return;
    if (calls === null || callsMade === calls.callsPerRun) {
      this.answer(SUCCESS_STATUS);
      return;
    }
    const { spec, time, daemon } = this.ports;
    const deadlineMs = Math.min(spec.call.deadlineMs, this.expiresAtMs - time.queue.nowMs);
    daemon.acceptRequest(
      { path: callPath(calls.service), deadlineMs },
      {
        onAnswer: (statusCode) => {
          if (statusCode === SUCCESS_STATUS) this.callNext(calls, callsMade + 1);
          else this.answer(FAILURE_STATUS);
        },
        onUnanswered: () => {
          this.answer(FAILURE_STATUS);
        },
      },
    );
  }

  private answer(statusCode: number): void {
    if (this.ended) return;
    this.ended = true;
    if (statusCode === SUCCESS_STATUS) this.ports.report.goodRuns += 1;
    else this.ports.report.badRuns += 1;
    this.run.onDone({ kind: 'answered', statusCode, bytes: 0, pace: null });
    const status = this.run.status();
    const head = {
      statusCode,
      headers: [],
      moreFollows: false,
      contentLength: 0,
      framed: true,
      timing: this.run.timing(),
      status,
    };
    this.run.reply.answer(head, Buffer.alloc(0));
  }

  private expire(): void {
    if (this.ended) return;
    this.ended = true;
    this.ports.report.badRuns += 1;
    this.run.onDone({ kind: 'deadline' });
    this.run.reply.fail({ reason: 'deadline', detail: 'the time was up', status: this.run.status() });
  }
}
