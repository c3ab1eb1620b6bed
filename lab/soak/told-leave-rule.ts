/**
 * Rule on leaves that back ends state in their answers: a machine that has passed on such an answer sends the back end
 * no request that its caller sent later than the drain time after that. A restart or a freeze of the machine excuses
 * it. Times are in ms.
 */

/** Where and when a caller sent a request. */
interface SentRequest {
  readonly machine: string;
  readonly sentMs: number;
}

/** Maximum number of requests whose origin is stored. */
const MAX_REQUESTS = 20_000;

/** Checks the requests that reach leaving back ends. */
export class ToldLeaveRule {
  private readonly requests = new Map<string, SentRequest>();
  /** Time at which each machine first passed on an answer of a leaving back end, by back end and machine. */
  private readonly told = new Map<string, Map<string, number>>();

  constructor(
    private readonly drainMs: number,
    private readonly report: (atMs: number, detail: string) => void,
  ) {}

  /** Records that a caller sends a request to the daemon of a machine. */
  requestSent(requestId: string, machine: string, nowMs: number): void {
    this.requests.set(requestId, { machine, sentMs: nowMs });
    if (this.requests.size <= MAX_REQUESTS) return;
    const [oldest] = this.requests.keys();
    if (oldest !== undefined) this.requests.delete(oldest);
  }

  /** Records that a machine has passed on an answer of a back end that says that it leaves. */
  answerPassedOn(backend: string, machine: string, nowMs: number): void {
    const machines = this.told.get(backend) ?? new Map<string, number>();
    this.told.set(backend, machines);
    if (!machines.has(machine)) machines.set(machine, nowMs);
  }

  /** Excuses a machine that was restarted or frozen from the answers that it has passed on. */
  excuse(machine: string): void {
    for (const machines of this.told.values()) machines.delete(machine);
  }

  /** Records that a request reaches a back end. */
  arrived(backend: string, requestId: string, nowMs: number): void {
    const request = this.requests.get(requestId);
    if (request === undefined) return;
    const toldMs = this.told.get(backend)?.get(request.machine) ?? Infinity;
    const lateMs = request.sentMs - toldMs;
    if (lateMs <= this.drainMs) return;
    const detail = `${backend} got ${requestId}, sent to ${request.machine} ${Math.round(lateMs)} ms after that had passed on its leave`;
    this.report(nowMs, detail);
  }
}
