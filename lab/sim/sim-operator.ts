/**
 * An operator of a simulated directory that behaves like the operator client of the platform: it sends a call to any
 * replica, follows up to two redirections, and resends the same call to another replica until the answer is conclusive.
 */
import type { Call, CallAnswer } from '../../platform/json-server.js';
import { OperatorCalls } from '../../platform/operator-calls.js';
import { parseAddress } from '../../src/directory/replica-address.js';
import type { EventQueue } from './event-queue.js';
import type { Random } from '../random.js';
import type { SimReplica } from './sim-directory.js';

/** Port in redirections. */
const CONTROL_PORT = 8_306;

/** Answer timeout in ms, and its extension in ms for each 1,000 characters of the call. */
const ANSWER_TIMEOUT_MS = 1_000;
const ANSWER_TIMEOUT_MS_PER_KILOBYTE = 5;
const CHARACTERS_PER_KILOBYTE = 1_000;

/** One-way network latency in ms. */
const NETWORK_LATENCY_MS = 1;

/** Bounds in ms of the backoff before another replica is tried. */
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_000;

const MAX_REDIRECTIONS = 2;

const STATUS = {
  ok: 200,
  elsewhere: 307,
  timeout: 408,
  tooManyRequests: 429,
  firstServerError: 500,
} as const;
const FIRST_CLIENT_ERROR = 400;

/** Progress and outcome of a call. */
export interface SentCall {
  readonly sentMs: number;
  /** When a replica first acknowledged the call, whether or not the operator received it; null before. */
  acknowledgedMs: number | null;
  /** Status of the conclusive answer; null while there is none. */
  status: number | null;
  /** Number of attempts, including redirections. */
  attempts: number;
}

/** Callbacks of one call. */
export interface CallObserver {
  /** Called at each acknowledgement by a replica, whether or not it reaches the operator. */
  onAcknowledged(replica: SimReplica): void;
  /** Called once the operator has a conclusive answer. */
  onEnd(): void;
}

/** The replicas that an operator calls, and the probability that an acknowledgement is lost on the network. */
export interface OperatedDirectory {
  readonly queue: EventQueue;
  readonly random: Random;
  readonly replicas: readonly SimReplica[];
  acknowledgementLossProbability: number;
}

/** One attempt of a call. */
interface Attempt {
  readonly call: Call;
  readonly sent: SentCall;
  /** Redirections that led to this attempt. */
  readonly redirections: number;
  readonly observer: CallObserver | null;
  /** Earlier attempts without a conclusive answer. */
  readonly failures: number;
}

/** An operator that calls a simulated directory. */
export class SimOperator {
  private stopped = false;

  constructor(
    private readonly directory: OperatedDirectory,
    /** Zones that may be evacuated. */
    private readonly zones: ReadonlySet<string> = new Set(),
  ) {}

  /** Sends no further attempts. */
  stop(): void {
    this.stopped = true;
  }

  /** Sends a call and repeats it until it is answered; the returned record is updated. */
  send(call: Call, observer: CallObserver | null = null): SentCall {
    const { queue } = this.directory;
    const sent: SentCall = { sentMs: queue.nowMs, acknowledgedMs: null, status: null, attempts: 0 };
    this.sendAttempt(this.randomReplica(), { call, sent, observer, redirections: 0, failures: 0 });
    return sent;
  }

  private randomReplica(): SimReplica | undefined {
    const { random, replicas } = this.directory;
    return replicas[random.below(replicas.length)];
  }

  private sendAttempt(replica: SimReplica | undefined, attempt: Attempt): void {
    if (this.stopped) return;
    const { queue } = this.directory;
    const { call, sent, observer } = attempt;
    let pending = true;
    const end = (answer: CallAnswer | null): void => {
      if (pending) this.handleAnswer(attempt, answer);
      pending = false;
    };
    sent.attempts += 1;
    queue.at(queue.nowMs + timeoutMs(call), () => {
      end(null);
    });
    replica?.process.schedule(NETWORK_LATENCY_MS, () => {
      void this.answer(replica, call).then((answer) => {
        if (answer.status === STATUS.ok) {
          sent.acknowledgedMs ??= queue.nowMs;
          observer?.onAcknowledged(replica);
        }
        if (this.isAnswerLost(answer)) return;
        queue.at(queue.nowMs + replica.process.remainingWorkMs + NETWORK_LATENCY_MS, () => {
          end(answer);
        });
      });
    });
  }

  private async answer({ node }: SimReplica, call: Call): Promise<CallAnswer> {
    if (node === null) return { status: STATUS.firstServerError };
    return await new OperatorCalls(node, CONTROL_PORT, this.zones).handle(call);
  }

  private isAnswerLost({ status }: CallAnswer): boolean {
    const { random, acknowledgementLossProbability } = this.directory;
    return status === STATUS.ok && random.fraction() < acknowledgementLossProbability;
  }

  private handleAnswer(attempt: Attempt, answer: CallAnswer | null): void {
    const { sent, redirections } = attempt;
    if (answer?.status === STATUS.elsewhere && redirections < MAX_REDIRECTIONS) {
      this.sendAttempt(this.redirectTarget(answer), { ...attempt, redirections: redirections + 1 });
    } else if (answer !== null && isConclusive(answer.status)) {
      sent.status = answer.status;
      attempt.observer?.onEnd();
    } else this.retryLater(attempt);
  }

  private retryLater(attempt: Attempt): void {
    const { queue } = this.directory;
    const { failures } = attempt;
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** failures);
    queue.at(queue.nowMs + backoffMs, () => {
      this.sendAttempt(this.randomReplica(), { ...attempt, redirections: 0, failures: failures + 1 });
    });
  }

  private redirectTarget(answer: CallAnswer): SimReplica | undefined {
    const location = answer.headers?.['location'] ?? '';
    const host = URL.canParse(location) ? new URL(location).hostname : '';
    return this.directory.replicas.find(({ name }) => parseAddress(name)?.host === host);
  }
}

function timeoutMs({ body }: Call): number {
  return ANSWER_TIMEOUT_MS + (body.length / CHARACTERS_PER_KILOBYTE) * ANSWER_TIMEOUT_MS_PER_KILOBYTE;
}

function isConclusive(status: number): boolean {
  if (status === STATUS.timeout || status === STATUS.tooManyRequests) return false;
  return status === STATUS.ok || (status >= FIRST_CLIENT_ERROR && status < STATUS.firstServerError);
}
