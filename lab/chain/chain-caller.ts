/** Callers in front of a simulated chain. They retry refused requests after the requested pause, while time remains. */
import type { UnansweredOutcome } from '../../src/sidecar/caller-request.js';
import type { Random } from '../random.js';
import type { ChainDaemon } from './chain-daemon.js';
import type { ChainReport } from './chain-report.js';
import { callerPath } from './chain-settings.js';
import type { ChainService, ChainSpec } from './chain-spec.js';
import type { ChainTime } from './chain-time.js';

/** Maximum pause before a retry, as a share of the remaining time. */
const MAX_RETRY_PAUSE_SHARE = 1 / 3;

const MS_PER_SECOND = 1_000;
const FIRST_FAILURE_STATUS = 500;

/** Dependencies of the callers. */
export interface ChainCallerPorts {
  readonly spec: ChainSpec;
  readonly time: ChainTime;
  readonly random: Random;
  readonly daemons: readonly ChainDaemon[];
  readonly report: ChainReport;
}

/** All callers of a chain. */
export class ChainCaller {
  constructor(private readonly ports: ChainCallerPorts) {}

  /** Starts the traffic of all services. */
  start(): void {
    for (const service of this.ports.spec.services) this.scheduleNext(service);
  }

  private scheduleNext(service: ChainService): void {
    const { spec, time, random } = this.ports;
    const { nowMs } = time.queue;
    const { burst } = spec;
    const inBurst = burst !== null && nowMs >= burst.fromMs && nowMs < burst.toMs;
    const perSecond = service.perSecond * (inBurst ? burst.factor : 1);
    time.queue.at(nowMs + random.exponential(MS_PER_SECOND / perSecond), () => {
      if (time.queue.nowMs >= spec.lengthMs) return;
      this.scheduleNext(service);
      this.sendRequest(service, time.queue.nowMs, spec.retries);
    });
  }

  private sendRequest(service: ChainService, startedMs: number, retries: number): void {
    const { time, random, daemons, report } = this.ports;
    const elapsedMs = (): number => time.queue.nowMs - startedMs;
    const request = { path: callerPath(service.name), deadlineMs: service.deadlineMs - elapsedMs() };
    random.pick(daemons).acceptRequest(request, {
      onAnswer: (statusCode) => {
        const inTime = elapsedMs() <= service.targetMs;
        const outcome = statusCode >= FIRST_FAILURE_STATUS ? 'failed' : inTime ? 'in-time' : 'late';
        report.recordOutcome(service.name, startedMs, outcome);
      },
      onUnanswered: (outcome: UnansweredOutcome) => {
        if (outcome.kind !== 'not-run') {
          report.recordOutcome(service.name, startedMs, 'failed');
          return;
        }
        const leftMs = service.deadlineMs - elapsedMs();
        if (retries === 0 || leftMs <= 0) {
          report.recordOutcome(service.name, startedMs, 'refused');
          return;
        }
        const pauseMs = Math.min(outcome.retryAfterMs, leftMs * MAX_RETRY_PAUSE_SHARE);
        time.runtime.after(pauseMs, () => {
          this.sendRequest(service, startedMs, retries - 1);
        });
      },
    });
  }
}
