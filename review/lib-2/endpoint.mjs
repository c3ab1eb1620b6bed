/**
 * Stand-in of an endpoint, as PROTOCOL.md tells it: slots and a short queue, heartbeats to the control address of its
 * machine, keys granted in the answers to heartbeats under fences, a health path that waits for a slot, and
 * `Not-Executed` on whatever it turns away.
 */
import { createServer, request as httpRequest } from 'node:http';
import { randomBytes } from 'node:crypto';

const overlaps = (left, right) => left.from <= right.to && right.from <= left.to;

/** Removes a span from a list of ranges. */
function subtract(ranges, span) {
  return ranges.flatMap((range) => {
    if (!overlaps(range, span)) return [range];
    const parts = [];
    if (range.from < span.from) parts.push({ ...range, to: span.from - 1 });
    if (range.to > span.to) parts.push({ ...range, from: span.to + 1 });
    return parts;
  });
}

export class Endpoint {
  constructor({
    id,
    service,
    zone = 'hal_a',
    ip,
    ports,
    keyed = false,
    slots = 6,
    queue = 12,
    workMs = 100,
    heartbeatMs = 1_500,
    record = null,
    onAnswer = () => undefined,
    onRun = () => undefined,
    bodyOf = null,
  }) {
    Object.assign(this, { id, service, zone, ip, ports, keyed, slots, workMs, heartbeatMs, record });
    Object.assign(this, { onAnswer, onRun, bodyOf, queueLength: queue });
    this.sequence = 0;
    this.state = 'ready';
    this.held = [];
    this.fences = [];
    this.released = [];
    this.runningKeys = new Map();
    this.running = 0;
    this.waiting = [];
    this.up = false;
    this.runs = new Map();
    this.startedMs = [];
    this.beatTimer = null;
    this.handovers = 0;
  }

  async start() {
    this.up = true;
    this.server = createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = 30_000;
    await new Promise((done, failed) => {
      this.server.once('error', failed);
      this.server.listen(this.ports.backend, this.ip, done);
    });
  }

  /** Ends at once, without a word. */
  async crash() {
    this.up = false;
    this.held = [];
    clearTimeout(this.beatTimer);
    await new Promise((done) => {
      this.server.close(() => done());
      this.server.closeAllConnections();
    });
  }

  // ---- heartbeats

  beginHeartbeats() {
    clearTimeout(this.beatTimer);
    void this.beat();
  }

  /** The body of the next heartbeat. */
  nextBeat() {
    this.sequence += 1;
    const body = {
      address: `${this.ip}:${this.ports.backend}`,
      info: { service: this.service, zone: this.zone, version: 'v1', slots: this.slots },
      status: { state: this.state, call_seq: this.sequence, cold_left_s: 0 },
    };
    if (!this.keyed) return body;
    const holds = [...this.currentHolds(), ...this.stillWorkedOn()];
    body.holds = holds.map(({ from, to, fence }) => [from, to, fence]);
    if (this.released.length > 0)
      body.released = this.released.map(({ from, to, handover }) => [from, to, handover]);
    return body;
  }

  async beat() {
    if (!this.up) return;
    const sentMs = performance.now();
    const told = this.released;
    const answer = await this.send('PUT', this.nextBeat());
    if (!this.up) return;
    const inTime = performance.now() - sentMs <= 1_000;
    if (answer !== null && inTime) {
      this.released = this.released.filter((range) => !told.includes(range));
      this.take(answer, sentMs);
      this.onAnswer(answer, this);
    }
    const isReleasing = this.released.length > 0 || this.stillWorkedOn().length > 0;
    const nextMs = answer === null || !inTime ? 100 : isReleasing ? 90 : this.heartbeatMs;
    this.beatTimer = setTimeout(() => void this.beat(), this.nextBeatMs?.(nextMs) ?? nextMs);
  }

  async send(method, body) {
    return await new Promise((done) => {
      const text = JSON.stringify(body);
      const options = {
        host: this.ip,
        port: this.ports.control,
        method,
        path: `/instances/${this.id}`,
        headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) },
      };
      const call = httpRequest(options, (answer) => {
        let received = '';
        answer.on('data', (chunk) => (received += chunk));
        answer.on('end', () => done(answer.statusCode === 200 ? JSON.parse(received || '{}') : null));
        answer.on('error', () => done(null));
      });
      call.setTimeout(1_000, () => call.destroy());
      call.on('error', () => done(null));
      call.end(text);
    });
  }

  // ---- keys

  currentHolds() {
    const nowMs = performance.now();
    this.held = this.held.filter(({ untilMs }) => nowMs < untilMs);
    return this.held;
  }

  holds(key) {
    return this.currentHolds().some(({ from, to }) => key >= from && key <= to);
  }

  stillWorkedOn() {
    return [...this.runningKeys.keys()]
      .filter((key) => !this.holds(key))
      .map((key) => {
        const seen = this.fences.find(({ from, to }) => key >= from && key <= to);
        return { from: key, to: key, fence: seen?.fence ?? 0 };
      });
  }

  /** Takes the answer to a heartbeat: its rows are all that is held from now on; without rows nothing is renewed. */
  take(answer, sentMs) {
    if (!this.keyed || answer.holds === undefined) return;
    const untilMs = sentMs + answer.hold_s * 1_000;
    const rows = answer.holds
      .map(([from, to, fence]) => ({ from, to, fence, untilMs }))
      .filter((row) => !this.fences.some((seen) => seen.fence > row.fence && overlaps(seen, row)));
    let gone = this.currentHolds();
    for (const row of rows) gone = subtract(gone, row);
    for (const { from, to } of gone) {
      this.handovers += 1;
      this.released.push({ from, to, handover: `${this.id}-${this.handovers}` });
    }
    for (const row of rows) this.fences = [...subtract(this.fences, row), row];
    this.held = rows;
  }

  // ---- requests

  receive(request, response) {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    if (!this.up) {
      request.socket.destroy();
      return;
    }
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk.length));
    request.on('end', () => this.admit(request, response));
  }

  admit(request, response) {
    const isHealth = request.url === '/health';
    const expected = request.headers['expected-instance'];
    const key = this.keyed && !isHealth ? Number(request.headers['shard-key']) : null;
    if (expected !== undefined && expected !== this.id) {
      this.reject(request, response, 421);
      return;
    }
    if (key !== null && !this.holds(key)) {
      this.reject(request, response, 421);
      return;
    }
    const run = () => (isHealth ? this.health(response) : void this.run(request, response, key));
    if (this.running < this.slots) run();
    else if (this.waiting.length < this.queueLength) this.waiting.push({ run, response });
    else this.reject(request, response, 503);
  }

  health(response) {
    const ok = this.state === 'ready';
    response.writeHead(ok ? 200 : 503, { 'instance-id': this.id, 'content-length': 0 });
    response.end();
    this.next();
  }

  reject(request, response, status) {
    response.writeHead(status, {
      'request-id': request.headers['request-id'] ?? '',
      'not-executed': '1',
      'content-length': 0,
    });
    response.end();
  }

  next() {
    while (this.running < this.slots && this.waiting.length > 0) {
      const { run, response } = this.waiting.shift();
      if (!response.destroyed) run();
    }
  }

  async run(request, response, key) {
    const requestId = request.headers['request-id'];
    if (key !== null && !this.holds(key)) {
      this.reject(request, response, 421);
      return;
    }
    this.running += 1;
    if (key !== null) this.runningKeys.set(key, (this.runningKeys.get(key) ?? 0) + 1);
    this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1);
    this.startedMs.push(performance.now());
    this.onRun(requestId, this, key);
    const workMs = typeof this.workMs === 'function' ? this.workMs(request) : this.workMs;
    await new Promise((done) => setTimeout(done, workMs));
    this.running -= 1;
    if (key !== null) {
      const left = this.runningKeys.get(key) - 1;
      if (left > 0) this.runningKeys.set(key, left);
      else this.runningKeys.delete(key);
    }
    if (this.up && !response.destroyed && this.respond !== undefined) {
      await this.respond(request, response);
    } else if (this.up && !response.destroyed) {
      const body = this.bodyOf?.(request) ?? Buffer.from(`done ${requestId}`);
      response.writeHead(200, {
        'request-id': requestId,
        'server-seal': randomBytes(6).toString('hex'),
        'content-length': body.length,
      });
      response.end(body);
    }
    this.next();
  }
}

/**
 * Watches the rule OWNER over a set of endpoints of one service: two that are up hold the same keys for over half a
 * second.
 */
export class OwnerWatch {
  constructor(endpoints, record) {
    this.endpoints = endpoints;
    this.record = record;
    this.since = new Map();
    this.longestMs = 0;
    this.longest = '';
    this.timer = setInterval(() => this.check(), 10);
  }

  check() {
    const nowMs = performance.now();
    const seen = new Set();
    const up = this.endpoints().filter((endpoint) => endpoint.up);
    for (let at = 0; at < up.length; at += 1) {
      for (const other of up.slice(at + 1)) {
        for (const mine of up[at].currentHolds()) {
          for (const theirs of other.currentHolds()) {
            if (!overlaps(mine, theirs)) continue;
            const from = Math.max(mine.from, theirs.from);
            const to = Math.min(mine.to, theirs.to);
            const name = `${up[at].id} (fence ${mine.fence}) and ${other.id} (fence ${theirs.fence}): keys ${from}-${to}`;
            seen.add(name);
            if (!this.since.has(name)) {
              this.since.set(name, nowMs);
              this.record.add(`both hold: ${name}`);
            }
            const heldMs = nowMs - this.since.get(name);
            if (heldMs > this.longestMs) [this.longestMs, this.longest] = [heldMs, name];
          }
        }
      }
    }
    for (const [name, sinceMs] of this.since) {
      if (seen.has(name)) continue;
      this.record.add(`no longer both after ${Math.round(nowMs - sinceMs)} ms: ${name}`);
      this.since.delete(name);
    }
  }

  stop() {
    clearInterval(this.timer);
  }
}
