/**
 * REFUSED: an endpoint that is full rejects a request that must not run twice, and sends the rejection a second time
 * (a surplus answer, late). The sidecar sends the request to the same endpoint once more, on the same connection, and
 * takes the surplus rejection for the answer to the run that has just begun.
 */
import { performance } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';
import { Client, Endpoint, TROUBLE, configurationOf, pause, play, untilServed } from '../lib/stand.mjs';

const PLAY_MS = 60_000;
const CLIENTS = 9;
const SLOTS = 6;
const QUEUE = 2;

/** Share of the clients that leave before their deadline, and when. */
const GIVE_UP_SHARE = 0.3;
const GIVE_UP_MS = [60, 160];

/** Share of the rejections that are sent a second time, and when. */
const EXTRA_SHARE = 0.3;
const EXTRA_MS = [40, 110];

/** `EXTRA=0` keeps the crashes and leaves out the surplus answers, to show which of the two is the cause. */
const SENDS_EXTRA = process.env['EXTRA'] !== '0';

const PROMISES = new Set([408, 421, 429, 503]);

const between = ([low, high]) => low + Math.random() * (high - low);

/** An endpoint for instructions: it runs `SLOTS` requests at once, queues a few more and rejects the others. */
class Ledger {
  constructor(record) {
    this.record = record;
    this.running = 0;
    this.queue = [];
    this.rejections = 0;
    this.extras = 0;
  }

  serve(request, socket, endpoint) {
    if (this.running < SLOTS) this.run(request, socket, endpoint);
    else if (this.queue.length < QUEUE) this.queue.push(() => this.run(request, socket, endpoint));
    else this.reject(request, socket, endpoint);
  }

  /** The run goes on when its connection closes. */
  run(request, socket, endpoint) {
    this.running += 1;
    endpoint.run(request);
    setTimeout(
      () => {
        this.running -= 1;
        this.record.line(`${endpoint.sidecar.name} endpoint: ended ${request.id}`);
        if (!socket.destroyed) socket.write(endpoint.answerOf(request, Buffer.from('confirmed')));
        this.queue.shift()?.();
      },
      between([80, 240]),
    );
  }

  reject(request, socket, { sidecar }) {
    this.rejections += 1;
    const head = `Request-Id: ${request.id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
    const rejection = `HTTP/1.1 503 Service Unavailable\r\n${head}`;
    this.record.line(`${sidecar.name} endpoint: full, rejects ${request.id} on connection ${socket.number}`);
    socket.write(rejection);
    if (!TROUBLE || !SENDS_EXTRA || Math.random() >= EXTRA_SHARE) return;
    setTimeout(() => {
      if (socket.destroyed) return;
      this.extras += 1;
      this.record.line(
        `${sidecar.name} endpoint: surplus rejection of ${request.id} on connection ${socket.number}`,
      );
      socket.write(rejection);
    }, between(EXTRA_MS));
  }
}

await play(
  fileURLToPath(new URL('.', import.meta.url)),
  { services: ['inning', 'inning', 'inning', 'saldo'] },
  async (deployment, record) => {
    const ledgers = [];
    const endpoints = [];
    for (const sidecar of deployment.sidecars.slice(0, 3)) {
      const ledger = new Ledger(record);
      const endpoint = new Endpoint(record, deployment, sidecar, (...run) => ledger.serve(...run), {
        slots: SLOTS,
      });
      await endpoint.start();
      ledgers.push(ledger);
      endpoints.push(endpoint);
    }
    const route = {
      name: 'domiciliering',
      service: 'inning',
      type: 'non_idempotent',
      targetS: 0.5,
      timeoutS: 1.2,
    };
    await deployment.configure(configurationOf(1, [route]));
    const front = deployment.sidecars[3];
    const shape = {
      method: 'POST',
      host: 'shop.example',
      path: '/domiciliering/p',
      body: 'pick',
      deadlineMs: 1_200,
    };
    await untilServed(deployment, record, front, shape);
    if (TROUBLE) {
      for (const endpoint of endpoints.slice(1)) {
        record.line(`trouble: the endpoint beside ${endpoint.sidecar.name} crashes`);
        endpoint.stop();
      }
      await pause(3_000);
    }
    const outcomes = new Map();
    const endMs = performance.now() + PLAY_MS;
    let sent = 0;
    let found = 0;
    const act = async (name) => {
      const client = new Client(record, name, front);
      while (performance.now() < endMs && found < 5) {
        sent += 1;
        const id = `pick-${sent}`;
        const leaves = Math.random() < GIVE_UP_SHARE;
        const deadlineMs = leaves ? between(GIVE_UP_MS) : shape.deadlineMs;
        const outcome = await client.request({
          ...shape,
          id,
          deadlineMs: shape.deadlineMs,
          leaveMs: deadlineMs,
        });
        outcomes.set(id, outcome);
        if (outcome.kind === 'answer' && PROMISES.has(outcome.status)) {
          if (endpoints.some(({ runs }) => runs.has(id))) found += 1;
          await pause(60);
        }
      }
      client.close();
    };
    await Promise.all([...Array(CLIENTS).keys()].map((at) => act(`client-${at + 1}`)));
    await pause(1_500);
    const refused = [...outcomes].filter(([, { kind, status }]) => kind === 'answer' && PROMISES.has(status));
    const broken = refused.filter(([id]) => endpoints.some(({ runs }) => runs.has(id)));
    for (const [id, { status }] of broken)
      record.line(`broken: ${id} was answered ${status}, and an endpoint ran it`);
    const twice = endpoints.flatMap(({ runs }) => [...runs].filter(([, count]) => count > 1));
    for (const [id, count] of twice) record.line(`broken: ${id} ran ${count} times`);
    const rejections = ledgers.reduce((sum, ledger) => sum + ledger.rejections, 0);
    const extras = ledgers.reduce((sum, ledger) => sum + ledger.extras, 0);
    record.line(
      `result: ${sent} sent, ${rejections} rejections by full endpoints, ${extras} surplus answers, ` +
        `${refused.length} answered 408, 421, 429 or 503, of which ${broken.length} had run; ${twice.length} ran twice`,
    );
    return broken.length + twice.length > 0;
  },
);
