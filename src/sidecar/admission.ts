/**
 * Places at one back end. No more requests are sent to it than it runs at once; the others wait here, the most
 * urgent first, each for no longer than it says.
 */

/** A request that wants a place. */
export interface Applicant {
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Among those of one rank the smallest goes first. */
  readonly order: number;
  /** Places that must stay free for others when it starts. */
  readonly reserve: number;
  /** When it gives up waiting, in ms of the daemon's clock. */
  readonly expiresMs: number;
  /** It has a place, which it must give back with `leave`. */
  start(): void;
  /** It has waited for too long, or there is no use in waiting. */
  expire(): void;
}

/** What the places need to know of the back end. */
export interface AdmissionPorts {
  /** Time in ms until a request may start behind `ahead` others; 0 while nothing is bounded. */
  delayMs(ahead: number): number;
  /** A request has started. */
  noteStarted(): void;
  /** How long work takes there at this moment, as a factor on the usual. */
  pace(): number;
}

const STEADY: AdmissionPorts = { delayMs: () => 0, noteStarted: () => undefined, pace: () => 1 };

/** Weight of the newest sample in the mean service time. */
const NEWEST_WEIGHT = 0.1;

/** Service time that is assumed before any was seen, in ms. */
const ASSUMED_SERVICE_MS = 50;

function goesBefore(left: Applicant, right: Applicant): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  return left.order < right.order;
}

/** The places of one back end. */
export class Admission {
  private running = 0;
  private paused = false;
  private readonly waiting: Applicant[] = [];
  /** At the usual pace. */
  private meanMs = ASSUMED_SERVICE_MS;

  constructor(
    private slotCount: number,
    private readonly ports: AdmissionPorts = STEADY,
  ) {}

  /** Requests that have a place. */
  get runningCount(): number {
    return this.running;
  }

  /** Requests that wait. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Places. */
  get slots(): number {
    return this.slotCount;
  }

  /** Time in ms that a request is to be expected to keep its place, by a recent mean. */
  get serviceMs(): number {
    return this.meanMs * this.ports.pace();
  }

  /** Sets the number of places. */
  resize(slots: number): void {
    this.slotCount = slots;
    this.fill();
  }

  /** Whether a request may be sent now and nothing runs. */
  get isIdle(): boolean {
    return this.running === 0 && this.ports.delayMs(0) <= 0;
  }

  /** Begins nothing until `resume`, but for what is begun past the others. */
  pause(): void {
    this.paused = true;
  }

  /** Begins what waits again. */
  resume(): void {
    this.paused = false;
    this.fill();
  }

  /** Begins an applicant past all that wait. */
  beginPast(applicant: Applicant): void {
    this.begin(applicant);
  }

  /** Gives the applicant a place, lets it wait, or expires it at once when it would wait for too long. */
  apply(applicant: Applicant, nowMs: number): void {
    // Whoever waits has no place after this, so nobody is passed over.
    this.fill();
    if (this.hasPlaceFor(applicant)) {
      this.begin(applicant);
      return;
    }
    const ahead = this.waiting.filter((other) => !goesBefore(applicant, other)).length;
    const placeMs = (this.serviceMs * (ahead + 1)) / (this.slotCount + 1);
    const expectedMs = Math.max(placeMs, this.ports.delayMs(ahead));
    if (nowMs + expectedMs > applicant.expiresMs) {
      applicant.expire();
      return;
    }
    this.insert(applicant);
  }

  /** A request gives its place back; `usedMs` is the time for which it had it, at the pace of that time. */
  leave(usedMs: number): void {
    this.running -= 1;
    this.meanMs += (usedMs / this.ports.pace() - this.meanMs) * NEWEST_WEIGHT;
    this.fill();
  }

  /** A waiting applicant has no more use for a place. */
  withdraw(applicant: Applicant): void {
    const at = this.waiting.indexOf(applicant);
    if (at >= 0) this.waiting.splice(at, 1);
  }

  /** Expires those that have waited for too long. */
  expireBefore(nowMs: number): void {
    const expired = this.waiting.filter(({ expiresMs }) => expiresMs <= nowMs);
    for (const applicant of expired) {
      this.withdraw(applicant);
      applicant.expire();
    }
  }

  /** Expires everything that waits. */
  expireAll(): void {
    for (const applicant of this.waiting.splice(0)) applicant.expire();
  }

  private begin(applicant: Applicant): void {
    this.running += 1;
    this.ports.noteStarted();
    applicant.start();
  }

  private insert(applicant: Applicant): void {
    const at = this.waiting.findIndex((other) => goesBefore(applicant, other));
    if (at < 0) this.waiting.push(applicant);
    else this.waiting.splice(at, 0, applicant);
  }

  private hasPlaceFor({ reserve }: Applicant): boolean {
    return !this.paused && this.running + reserve < this.slotCount && this.ports.delayMs(0) <= 0;
  }

  /** Starts those that wait and may start now. */
  fill(): void {
    for (;;) {
      const next = this.waiting.find((applicant) => this.hasPlaceFor(applicant));
      if (next === undefined) return;
      this.withdraw(next);
      this.begin(next);
    }
  }
}
