/** Callers in front of a simulated chain. They come back after a refusal when they are told to, as long as they can. */
import type { UnansweredOutcome } from '../../src/sidecar/caller-request.js';
import type { Random } from '../random.js';
import type { ChainDaemon } from './chain-daemon.js';
import type { ChainReport } from './chain-report.js';
import { callerPath } from './chain-settings.js';
import type { ChainService, ChainSpec } from './chain-spec.js';
import type { ChainTime } from './chain-time.js';

/** Part of the time that is left for which callers wait before they come back, at most. */
const LONGEST_RETURN_SHARE = 1 / 3;

const MS_PER_SECOND = 1_000;
const FIRST_FAILURE_STATUS = 500;

/** What callers need of their world. */
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
    for (const service of this.ports.spec.services) this.next(service);
  }

  private next(service: ChainService): void {
    const { spec, time, random } = this.ports;
    const { nowMs } = time.queue;
    const { burst } = spec;
    const bursts = burst !== null && nowMs >= burst.fromMs && nowMs < burst.toMs;
    const perSecond = service.perSecond * (bursts ? burst.factor : 1);
    time.queue.at(nowMs + random.exponential(MS_PER_SECOND / perSecond), () => {
      if (time.queue.nowMs >= spec.lengthMs) return;
      this.next(service);
      this.attempt(service, time.queue.nowMs, spec.returns);
    });
  }

  private attempt(service: ChainService, startedMs: number, returns: number): void {
    const { time, random, daemons, report } = this.ports;
    const elapsedMs = (): number => time.queue.nowMs - startedMs;
    const request = { path: callerPath(service.name), deadlineMs: service.deadlineMs - elapsedMs() };
    random.pick(daemons).callersRequest(request, {
      onAnswer: (statusCode) => {
        const inTime = elapsedMs() <= service.targetMs;
        const outcome = statusCode >= FIRST_FAILURE_STATUS ? 'failed' : inTime ? 'in-time' : 'late';
        report.note(service.name, startedMs, outcome);
      },
      onGivenUp: (outcome: UnansweredOutcome) => {
        if (outcome.kind !== 'not-run') {
          report.note(service.name, startedMs, 'failed');
          return;
        }
        const leftMs = service.deadlineMs - elapsedMs();
        if (returns === 0 || leftMs <= 0) {
          report.note(service.name, startedMs, 'refused');
          return;
        }
        const pauseMs = Math.min(outcome.retryAfterMs, leftMs * LONGEST_RETURN_SHARE);
        time.runtime.after(pauseMs, () => {
          this.attempt(service, startedMs, returns - 1);
        });
      },
    });
  }
}
