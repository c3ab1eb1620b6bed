/** A simulated back end: it works, calls the next service through the daemon beside it, and answers. */
import type { RequestHead } from '../../src/link/link-messages.js';
import type { BackendClient, PreparedRun } from '../../src/sidecar/backend-client.js';
import type { RunPorts } from '../../src/sidecar/backend-run.js';
import type { Random } from '../random.js';
import type { ChainDaemon } from './chain-daemon.js';
import type { ChainReport } from './chain-report.js';
import { callPath, callerPath } from './chain-settings.js';
import type { ChainCalls, ChainSpec, WorkSpec } from './chain-spec.js';
import type { ChainTime } from './chain-time.js';

/** Speeds of back ends; each draws one. */
const SPEEDS = [0.75, 1, 1.25] as const;

/** Parts of the mean between which work is drawn. */
const LEAST_WORK = 0.5;
const WORK_SPREAD = 1;

const SUCCESS_STATUS = 200;
const FAILURE_STATUS = 500;

/** What a back end needs of its world. */
export interface ChainBackendPorts {
  readonly spec: ChainSpec;
  readonly time: ChainTime;
  readonly random: Random;
  readonly report: ChainReport;
  /** The daemon beside it, which takes its calls. */
  readonly daemon: ChainDaemon;
}

/** A back end. */
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

/** One request at a back end. It keeps its place while it calls. */
class ChainRun implements PreparedRun {
  private readonly endsMs: number;
  private ended = false;

  constructor(
    private readonly ports: ChainBackendPorts,
    private readonly speed: number,
    private readonly work: WorkSpec,
    leftMs: number,
    private readonly run: RunPorts,
  ) {
    this.endsMs = ports.time.queue.nowMs + leftMs;
  }

  /** See `PreparedRun`. */
  start(): void {
    const { time, random } = this.ports;
    time.runtime.after(this.endsMs - time.queue.nowMs, () => {
      this.timeUp();
    });
    const { workMs, calls } = this.work;
    const ms = (workMs * (LEAST_WORK + WORK_SPREAD * random.fraction())) / this.speed;
    time.runtime.after(ms, () => {
      this.callNext(calls !== null && random.fraction() < calls.share ? calls : null, 0);
    });
  }

  /** See `PreparedRun`. */
  cancel(): void {
    this.ended = true;
  }

  private callNext(calls: ChainCalls | null, made: number): void {
    if (this.ended) return;
    if (calls === null || made === calls.times) {
      this.answer(SUCCESS_STATUS);
      return;
    }
    const { spec, time, daemon } = this.ports;
    const deadlineMs = Math.min(spec.call.deadlineMs, this.endsMs - time.queue.nowMs);
    daemon.callersRequest(
      { path: callPath(calls.service), deadlineMs },
      {
        onAnswer: (statusCode) => {
          if (statusCode === SUCCESS_STATUS) this.callNext(calls, made + 1);
          else this.answer(FAILURE_STATUS);
        },
        onGivenUp: () => {
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

  private timeUp(): void {
    if (this.ended) return;
    this.ended = true;
    this.ports.report.badRuns += 1;
    this.run.onDone({ kind: 'deadline' });
    this.run.reply.fail({ reason: 'deadline', detail: 'the time was up', status: this.run.status() });
  }
}
