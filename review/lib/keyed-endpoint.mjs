/** An endpoint of a service divided by key, as the pages tell it under "Keys that endpoints hold". */
import { performance } from 'node:perf_hooks';
import { Endpoint } from './stand.mjs';

const KEYS = 65_536;
const MISDIRECTED = '421 Misdirected Request';

/** Two endpoints may hold the same keys for at most this time. */
const MAX_OVERLAP_MS = 500;

/** What the endpoints of one service see of each other's keys; it only watches. */
export class KeyWatch {
  constructor(record) {
    this.record = record;
    this.endpoints = [];
    this.breaks = [];
  }

  /** Checks a grant that `receiver` has just taken, of keys that it did not hold until then. */
  checkGrant(receiver, from, to, fence) {
    const nowMs = performance.now();
    for (const other of this.endpoints) {
      if (other === receiver || !other.isUp) continue;
      for (const run of other.running) {
        const { key } = run;
        if (key < from || key > to || !receiver.wasNew(key) || other.leaseEndMs[key] <= nowMs) continue;
        const leftMs = (other.leaseEndMs[key] - nowMs).toFixed(0);
        this.report(
          `key ${key} is given to ${receiver.sidecar.name} (fence ${fence}) while ${other.sidecar.name} is still at work ` +
            `on it (${run.id}, fence ${other.heldFence[key]}), ${leftMs} ms before its lease would have run out`,
        );
      }
      this.checkOverlap(receiver, other, from, to, nowMs);
    }
  }

  checkOverlap(receiver, other, from, to, nowMs) {
    for (let key = from; key <= to; key += 1) {
      if (!receiver.wasNew(key) || other.heldUntilMs[key] <= nowMs) continue;
      setTimeout(() => {
        const thenMs = performance.now();
        const both = receiver.heldUntilMs[key] > thenMs && other.heldUntilMs[key] > thenMs;
        if (both && receiver.isUp && other.isUp)
          this.report(
            `key ${key} is held by ${receiver.sidecar.name} and ${other.sidecar.name} for over half a second`,
          );
      }, MAX_OVERLAP_MS + 1);
      return;
    }
  }

  report(text) {
    this.breaks.push(text);
    this.record.line(`broken: ${text}`);
  }
}

/** An endpoint that runs a request only while it holds its key. `spoil(write)` may send an answer a second time. */
export class KeyedEndpoint extends Endpoint {
  constructor(record, deployment, sidecar, { watch, workMs, spoil, slots = 6 }) {
    super(record, deployment, sidecar, () => undefined, { slots });
    this.watch = watch;
    this.workMs = workMs;
    this.spoil = spoil;
    this.isUp = true;
    this.running = new Set();
    this.seenFence = new Int32Array(KEYS).fill(-1);
    this.heldFence = new Int32Array(KEYS).fill(-1);
    /** Until when each key is held; 0 once it was released. */
    this.heldUntilMs = new Float64Array(KEYS);
    /** Until when each key was granted, also if it was released since. */
    this.leaseEndMs = new Float64Array(KEYS);
    /** Keys that the newest grant has added to those held. */
    this.newKeys = new Uint8Array(KEYS);
    watch.endpoints.push(this);
  }

  /** Whether the newest grant has added a key. */
  wasNew(key) {
    return this.newKeys[key] === 1;
  }

  stop() {
    this.isUp = false;
    super.stop();
  }

  /** Writes an answer; a faulty endpoint may send it a second time. */
  answer(socket, status, headers, body = Buffer.alloc(0)) {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    const head = `HTTP/1.1 ${status}\r\n${lines.join('')}Content-Length: ${body.length}\r\n\r\n`;
    const bytes = Buffer.concat([Buffer.from(head, 'latin1'), body]);
    const write = () => {
      if (!socket.destroyed) socket.write(bytes);
    };
    write();
    this.spoil(write, status, this);
  }

  receive(request, socket) {
    const { method, path, headers, id } = request;
    if (path === '/health') {
      this.answer(socket, '200 OK', { 'Instance-Id': this.id });
      return;
    }
    if (headers['expected-instance'] !== this.id) {
      this.answer(socket, MISDIRECTED, { ...(id === null ? {} : { 'Request-Id': id }), 'Not-Executed': 1 });
      return;
    }
    // Every answer carries the id of its request back, if that has one.
    const ids = id === null ? {} : { 'Request-Id': id };
    if (method === 'POST' && path === '/grant') this.grant(JSON.parse(request.body.toString()), ids, socket);
    else if (method === 'POST' && path === '/release')
      this.release(JSON.parse(request.body.toString()), ids, socket);
    else this.work(request, socket);
  }

  work({ id, headers }, socket) {
    const key = Number(headers['shard-key']);
    if (this.heldUntilMs[key] <= performance.now()) {
      this.answer(socket, MISDIRECTED, { 'Request-Id': id, 'Not-Executed': 1 });
      return;
    }
    this.run({ id });
    const run = { id, key, done: () => undefined };
    this.running.add(run);
    setTimeout(() => {
      this.running.delete(run);
      run.done();
      const isInLease = performance.now() < this.leaseEndMs[key];
      const sealed = { 'Request-Id': id, 'Server-Seal': `${this.id}.${id}` };
      this.answer(socket, isInLease ? '200 OK' : '500 Internal Server Error', sealed, Buffer.from('level'));
    }, this.workMs());
  }

  grant({ from_rev: from, target_version: to, fence, hold_s: holdS }, ids, socket) {
    for (let key = from; key <= to; key += 1) {
      if (this.seenFence[key] <= fence) continue;
      this.answer(socket, '409 Conflict', ids);
      return;
    }
    const nowMs = performance.now();
    const untilMs = nowMs + holdS * 1_000;
    let isNew = false;
    for (let key = from; key <= to; key += 1) {
      const held = this.heldUntilMs[key] > nowMs;
      this.newKeys[key] = held ? 0 : 1;
      if (!held) isNew = true;
      this.seenFence[key] = fence;
      this.heldFence[key] = fence;
      this.heldUntilMs[key] = untilMs;
      this.leaseEndMs[key] = untilMs;
    }
    if (isNew) {
      this.record.line(
        `${this.sidecar.name} endpoint: takes keys ${from}-${to}, fence ${fence}, for ${holdS} s`,
      );
      this.watch.checkGrant(this, from, to, fence);
    }
    this.answer(socket, '200 OK', ids);
  }

  /** Stops new work on the keys at once; answers once what was running on them has ended. */
  release({ from_rev: from, target_version: to, fence }, ids, socket) {
    for (let key = from; key <= to; key += 1) if (this.heldFence[key] <= fence) this.heldUntilMs[key] = 0;
    const runs = [...this.running].filter(({ key }) => key >= from && key <= to);
    this.record.line(
      `${this.sidecar.name} endpoint: is to release keys ${from}-${to}, fence ${fence}, at work on ${runs.length}`,
    );
    let left = runs.length;
    const finish = () => {
      this.record.line(`${this.sidecar.name} endpoint: released keys ${from}-${to}, fence ${fence}`);
      this.answer(socket, '200 OK', { ...ids, Handover: Math.random().toString(16).slice(2, 14) });
    };
    if (left === 0) finish();
    for (const run of runs) {
      const before = run.done;
      run.done = () => {
        before();
        left -= 1;
        if (left === 0) finish();
      };
    }
  }
}
