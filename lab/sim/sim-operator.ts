/**
 * An operator of a simulated directory, as the platform's operators are: it sends a call to any replica, follows two
 * redirections, and sends the call again as it was to another replica until it has a clear answer.
 */
import type { Call, CallAnswer } from '../../platform/json-server.js';
import { OperatorCalls } from '../../platform/operator-calls.js';
import { parseAddress } from '../../src/directory/replica-address.js';
import type { EventQueue } from './event-queue.js';
import type { Random } from '../random.js';
import type { SimReplica } from './sim-directory.js';

/** Port that is named in redirections. */
const CONTROL_PORT = 8_306;

/** Time in ms for an answer, and how much longer it may take for each 1,000 characters of the call. */
const ANSWER_TIMEOUT_MS = 1_000;
const ANSWER_TIMEOUT_PER_KILOBYTE_MS = 5;
const CHARACTERS_PER_KILOBYTE = 1_000;

/** Time in ms on the network, each way. */
const TRANSIT_MS = 1;

/** Pauses in ms before another replica is asked. */
const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 1_000;

const MOST_REDIRECTIONS = 2;

const STATUS = { ok: 200, elsewhere: 307, timeout: 408, tooMany: 429, firstOfServer: 500 } as const;
const FIRST_REFUSAL = 400;

/** What became of a call. */
export interface SentCall {
  readonly sentMs: number;
  /** When a replica first acknowledged it, whether or not the operator heard; null before. */
  acknowledgedMs: number | null;
  /** Status of the answer that ended the call; null while there is none. */
  status: number | null;
  /** How often it was sent, redirections included. */
  tries: number;
}

/** The replicas that an operator chooses among, and the chance that an acknowledgement is lost on its way. */
export interface OperatedDirectory {
  readonly queue: EventQueue;
  readonly random: Random;
  readonly replicas: readonly SimReplica[];
  lostAcknowledgements: number;
}

/** One try of a call. */
interface Attempt {
  readonly call: Call;
  readonly sent: SentCall;
  /** Redirections that led to it. */
  readonly redirections: number;
  /** Tries before it that had no clear answer. */
  readonly failures: number;
}

/** An operator. */
export class SimOperator {
  constructor(private readonly directory: OperatedDirectory) {}

  /** Sends a call until it is answered. */
  send(call: Call): SentCall {
    const { queue } = this.directory;
    const sent: SentCall = { sentMs: queue.nowMs, acknowledgedMs: null, status: null, tries: 0 };
    this.ask(this.anyReplica(), { call, sent, redirections: 0, failures: 0 });
    return sent;
  }

  private anyReplica(): SimReplica | undefined {
    const { random, replicas } = this.directory;
    return replicas[random.below(replicas.length)];
  }

  private ask(replica: SimReplica | undefined, attempt: Attempt): void {
    const { queue } = this.directory;
    const { call, sent } = attempt;
    let open = true;
    const end = (answer: CallAnswer | null): void => {
      if (open) this.takeAnswer(attempt, answer);
      open = false;
    };
    sent.tries += 1;
    queue.at(queue.nowMs + timeoutMs(call), () => {
      end(null);
    });
    replica?.process.schedule(TRANSIT_MS, () => {
      void this.answer(replica, call).then((answer) => {
        if (answer.status === STATUS.ok) sent.acknowledgedMs ??= queue.nowMs;
        if (this.isLost(answer)) return;
        queue.at(queue.nowMs + replica.process.workLeftMs + TRANSIT_MS, () => {
          end(answer);
        });
      });
    });
  }

  private async answer({ node }: SimReplica, call: Call): Promise<CallAnswer> {
    if (node === null) return { status: STATUS.firstOfServer };
    return await new OperatorCalls(node, CONTROL_PORT, new Set()).handle(call);
  }

  private isLost({ status }: CallAnswer): boolean {
    const { random, lostAcknowledgements } = this.directory;
    return status === STATUS.ok && random.fraction() < lostAcknowledgements;
  }

  private takeAnswer(attempt: Attempt, answer: CallAnswer | null): void {
    const { sent, redirections } = attempt;
    if (answer?.status === STATUS.elsewhere && redirections < MOST_REDIRECTIONS) {
      this.ask(this.namedIn(answer), { ...attempt, redirections: redirections + 1 });
    } else if (answer !== null && isClear(answer.status)) sent.status = answer.status;
    else this.askLater(attempt);
  }

  private askLater(attempt: Attempt): void {
    const { queue } = this.directory;
    const { failures } = attempt;
    const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** failures);
    queue.at(queue.nowMs + pauseMs, () => {
      this.ask(this.anyReplica(), { ...attempt, redirections: 0, failures: failures + 1 });
    });
  }

  private namedIn(answer: CallAnswer): SimReplica | undefined {
    const location = answer.headers?.['location'] ?? '';
    const host = URL.canParse(location) ? new URL(location).hostname : '';
    return this.directory.replicas.find(({ name }) => parseAddress(name)?.host === host);
  }
}

function timeoutMs({ body }: Call): number {
  return ANSWER_TIMEOUT_MS + (body.length / CHARACTERS_PER_KILOBYTE) * ANSWER_TIMEOUT_PER_KILOBYTE_MS;
}

function isClear(status: number): boolean {
  if (status === STATUS.timeout || status === STATUS.tooMany) return false;
  return status === STATUS.ok || (status >= FIRST_REFUSAL && status < STATUS.firstOfServer);
}
