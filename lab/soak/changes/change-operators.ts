/** Operators of a soak of changes. Each sends one change at a time, again every 200 ms until one call is answered. */
import type { SocketAddress } from '../../../src/model/socket-address.js';
import { pause } from '../../pause.js';
import { ChangeCalls, readConfiguration, readPresentVersion, type Reply } from './change-calls.js';
import { changeBody, type OperatorChange } from './change-content.js';
import type { ChangeJudge } from './change-judge.js';
import type { PlannedChange } from './change-plan.js';

/**
 * Interval in ms between the calls of one change, and the number of calls that wait at a time: more than are redirected to a
 * stopped leader before others lead, so that these are called too.
 */
const RESEND_MS = 200;
const MAX_WAITING_CALLS = 16;

/** Interval in ms between attempts to read without a successful answer. */
const READ_RETRY_MS = 200;

/** Attempts of a change that loses a race against the other operator's. */
const MAX_ATTEMPTS = 3;

const STATUS = {
  ok: 200,
  firstClientError: 400,
  timeout: 408,
  tooMany: 429,
  firstServerError: 500,
  conflict: 412,
};

/** All operators, and reads beside their changes. */
export class ChangeOperators {
  /** Changes with a definite answer. */
  answered = 0;
  readonly statuses = new Map<number, number>();
  /** Time since which a change has been waiting for its answer; null while none is. */
  private readonly waitingSinceMs = new Map<number, number>();
  private readonly calls = new ChangeCalls();
  private lastVersion = 0;
  /** Newest version that an operator knows to be in force. */
  private known = 0;
  /** A version that was in force before the newest known one. */
  private replaced = 0;
  private stopped = false;
  private nextReplica = 0;

  constructor(
    private readonly replicas: readonly SocketAddress[],
    private readonly judge: ChangeJudge,
  ) {}

  /** Sends changes one after the other. */
  async play(operator: number, changes: readonly PlannedChange[]): Promise<void> {
    for (const planned of changes) {
      for (let attempt = 0; attempt < MAX_ATTEMPTS && !this.stopped; attempt += 1) {
        const status = await this.change(operator, planned);
        if (status !== STATUS.conflict || planned.isStale || planned.invalid !== null) break;
      }
      if (this.stopped) return;
    }
  }

  /** Sends one change until it is answered; returns the status, null if the operators were stopped before. */
  async change(operator: number, planned: PlannedChange): Promise<number | null> {
    this.lastVersion += 1;
    const { method, routes, seed, invalid } = planned;
    const base = planned.isStale && this.replaced > 0 ? this.replaced : this.known;
    const change: OperatorChange = { method, routes, seed, invalid, base, version: this.lastVersion };
    this.judge.submitted(change);
    this.waitingSinceMs.set(operator, performance.now());
    const status = await this.sendUntilAnswered(change);
    this.waitingSinceMs.delete(operator);
    if (status !== null) this.answered += 1;
    return status;
  }

  /** Longest time in ms for which a change has been waiting. */
  longestWaitMs(): number {
    const nowMs = performance.now();
    return Math.max(0, ...[...this.waitingSinceMs.values()].map((sinceMs) => nowMs - sinceMs));
  }

  /** Reads and checks once; returns false without a successful answer. */
  async read(atEnd = false): Promise<boolean> {
    const newestBefore = this.judge.newestAcknowledged;
    const reply = await this.calls.send(this.pickReplica(), { method: 'GET', body: '', base: null });
    if (reply?.status !== STATUS.ok) return false;
    const configuration = readConfiguration(reply.body);
    if (configuration === null) return false;
    if (atEnd) this.judge.readAtEnd(configuration);
    else this.judge.read(configuration, newestBefore);
    return true;
  }

  /** Reads at intervals. */
  async readRepeatedly(pauseMs: number): Promise<void> {
    while (!this.stopped) {
      const isRead = this.judge.newestAcknowledged === 0 || (await this.read());
      await pause(isRead ? pauseMs : READ_RETRY_MS);
    }
  }

  /** Stops sending. */
  stop(): void {
    this.stopped = true;
  }

  /** Closes all connections. */
  close(): void {
    this.stopped = true;
    this.calls.close();
  }

  private async sendUntilAnswered(change: OperatorChange): Promise<number | null> {
    const { method, base } = change;
    const call = { method, base, body: changeBody(change) };
    let answer: number | null = null;
    let waiting = 0;
    const answers = new Set<Promise<void>>();
    while (answer === null && !this.stopped) {
      if (waiting < MAX_WAITING_CALLS) {
        waiting += 1;
        const newestBefore = this.judge.newestAcknowledged;
        const sent = this.calls.send(this.pickReplica(), call).then((reply) => {
          waiting -= 1;
          answers.delete(sent);
          if (this.take(change, reply, newestBefore)) answer ??= reply?.status ?? null;
        });
        answers.add(sent);
      }
      await waitForAnswer(answers, RESEND_MS, () => answer !== null);
    }
    return answer;
  }

  /** Takes the reply to a call; returns whether it decides the change. */
  private take(change: OperatorChange, reply: Reply | null, newestBefore: number): boolean {
    const status = reply?.status ?? 0;
    this.statuses.set(status, (this.statuses.get(status) ?? 0) + 1);
    if (reply === null || !isDefinite(status)) return false;
    const present = readPresentVersion(reply.body);
    this.judge.answered(change, status, newestBefore, present);
    if (status === STATUS.ok) this.learn(change.version);
    else if (status === STATUS.conflict && present !== null) this.learn(present);
    return true;
  }

  private learn(version: number): void {
    if (version <= this.known) return;
    this.replaced = this.known;
    this.known = version;
  }

  /** Replicas take turns. */
  private pickReplica(): SocketAddress {
    this.nextReplica += 1;
    const replica = this.replicas[this.nextReplica % this.replicas.length];
    if (replica === undefined) throw new Error('invariant broken: a soak has directories');
    return replica;
  }
}

function isDefinite(status: number): boolean {
  if (status === STATUS.ok) return true;
  const isClientError = status >= STATUS.firstClientError && status < STATUS.firstServerError;
  return isClientError && status !== STATUS.timeout && status !== STATUS.tooMany;
}

/** Waits until any call has ended that decides the change, or for at most `limitMs`. */
async function waitForAnswer(
  calls: ReadonlySet<Promise<void>>,
  limitMs: number,
  isDecided: () => boolean,
): Promise<void> {
  const endMs = performance.now() + limitMs;
  while (!isDecided()) {
    const leftMs = endMs - performance.now();
    if (leftMs <= 0) return;
    await Promise.race([...calls, pause(leftMs)]);
  }
}
