/** Early refusal of work whose calls cannot be answered. */
import test from 'ava';
import { CallShortages } from '../../src/sidecar/call-shortage.js';

const REQUESTS = 100;

/** Interval in ms of the requests, each of which makes a call that is answered after `callMs`, or fails if null. */
const INTERVAL_MS = 20;

class Route {
  nowMs = 1_000;
  readonly retryAfterMs: number[] = [];

  constructor(
    readonly shortages: CallShortages,
    private readonly priority: number,
    private readonly name = `route${priority}`,
  ) {}

  /** Sends requests and returns the number of those that were refused. */
  send(callMs: number | null, requests = REQUESTS): number {
    let refused = 0;
    for (let sent = 0; sent < requests; sent += 1) {
      this.nowMs += INTERVAL_MS;
      const refusal = this.shortages.decide(this.name, this.priority, this.nowMs);
      if (refusal === null) this.call(callMs);
      else this.retryAfterMs.push(refusal.retryAfterMs);
      refused += Number(refusal !== null);
    }
    return refused;
  }

  private call(callMs: number | null): void {
    const request = { requestId: 'p', route: this.name, priority: 0, deadlineMs: 0, isCall: false };
    const elapsedMs = callMs ?? 0;
    const call = { service: 'called', answered: callMs !== null, elapsedMs, targetMs: 262 };
    this.shortages.recordEnded({ parent: { request, criterion: 'id' }, ...call }, this.nowMs);
  }
}

test('while calls fail, work is refused early, most of the less urgent, and some is always admitted', (t) => {
  const shortages = new CallShortages();
  const refused = [0, 1, 2].map((priority) => new Route(shortages, priority).send(null));
  const [urgent = 0, medium = 0, lesser = 0] = refused;
  t.true(0 < urgent && urgent < medium && medium < lesser, refused.join());
  t.true(urgent <= REQUESTS / 2 && lesser <= 0.9 * REQUESTS, refused.join());
  t.is(shortages.refused, urgent + medium + lesser);
});

test('late calls cost only the less urgent work, and a retry-after time is given', (t) => {
  const shortages = new CallShortages();
  t.is(new Route(shortages, 0).send(400), 0);
  const lesser = new Route(shortages, 2);
  t.true(lesser.send(400) > 0);
  t.true(lesser.retryAfterMs.every((ms) => ms >= 100 && ms <= 1_500));
});

test('the end of a shortage is noticed within a second, by trials or without any', (t) => {
  const route = new Route(new CallShortages(), 2);
  t.true(route.send(null) > 0);
  route.send(100, 1_000 / INTERVAL_MS);
  t.is(route.send(100), 0);
  t.true(route.send(null) > 0);
  route.nowMs += 1_000;
  t.is(route.send(100), 0);
});

test('neither a single failure nor a shortage of other routes costs a request', (t) => {
  const shortages = new CallShortages();
  const route = new Route(shortages, 2);
  t.is(route.send(null, 1) + route.send(100), 0);
  new Route(shortages, 2, 'other').send(null);
  t.is(route.send(100), 0);
});
