/**
 * LOST: an endpoint spoils one byte in the heads of a few of its answers. The sidecar of the callers passes the
 * spoiled header on, its HTTP library refuses it, and the process ends: every request in flight there is lost.
 */
import { performance } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';
import { Client, Endpoint, TROUBLE, configurationOf, pause, play, untilServed } from '../lib/stand.mjs';

const PLAY_MS = 45_000;
const PICKERS = 8;
const SHEET_READERS = 4;

/** Share of the answers of the archive endpoint that are spoiled. */
const SPOILED_SHARE = 0.04;

/** Requests that may be closed without an answer on kept connections (rule LOST). */
const ALLOWED = 3;

const randomBelow = (limit) => Math.floor(Math.random() * limit);

/** Replaces one byte of the head of an answer by another one. */
function spoil(answer, record, id) {
  const headBytes = answer.indexOf('\r\n\r\n');
  const at = randomBelow(headBytes);
  const spoiled = Buffer.from(answer);
  spoiled[at] = randomBelow(256);
  const shown = JSON.stringify(spoiled.subarray(0, headBytes).toString('latin1'));
  record.line(`archief endpoint: spoils byte ${at} of its answer to ${id}: ${shown}`);
  return spoiled;
}

await play(
  fileURLToPath(new URL('.', import.meta.url)),
  { services: ['inning', 'inning', 'archief', 'saldo'] },
  async (deployment, record) => {
    const endpoints = [];
    let spoiledCount = 0;
    let spoils = false;
    const confirm = (request, socket, endpoint) => {
      endpoint.run(request);
      setTimeout(() => socket.write(endpoint.answerOf(request, Buffer.from('confirmed'))), 160);
    };
    const sendSheet = (request, socket, endpoint) => {
      endpoint.run(request);
      const answer = endpoint.answerOf(request, Buffer.alloc(20_000, 'w'), 'Content-Type: text/plain\r\n');
      setTimeout(() => {
        const isSpoiled = TROUBLE && spoils && Math.random() < SPOILED_SHARE;
        if (isSpoiled) spoiledCount += 1;
        socket.write(isSpoiled ? spoil(answer, record, request.id) : answer);
      }, 60);
    };
    for (const sidecar of deployment.sidecars.slice(0, 3)) {
      const serve = sidecar.service === 'archief' ? sendSheet : confirm;
      const endpoint = new Endpoint(record, deployment, sidecar, serve);
      await endpoint.start();
      endpoints.push(endpoint);
    }
    await deployment.configure(
      configurationOf(1, [
        { name: 'domiciliering', service: 'inning', type: 'non_idempotent', targetS: 0.5, timeoutS: 1.2 },
        { name: 'jaarafrekening', service: 'archief', type: 'download', targetS: 0.4, timeoutS: 1 },
      ]),
    );
    const front = deployment.sidecars[3];
    const pick = {
      method: 'POST',
      host: 'shop.example',
      path: '/domiciliering/p',
      body: 'pick',
      deadlineMs: 1_200,
    };
    const sheet = { host: 'shop.example', path: '/jaarafrekening/s', deadlineMs: 1_000 };
    await untilServed(deployment, record, front, pick);
    await untilServed(deployment, record, front, sheet);
    spoils = true;
    const endMs = performance.now() + PLAY_MS;
    const lost = [];
    let sent = 0;
    const act = async (name, shape) => {
      const client = new Client(record, name, front);
      while (performance.now() < endMs && lost.length < 3 * PICKERS) {
        sent += 1;
        const id = `${name}-${sent}`;
        const outcome = await client.request({ ...shape, id });
        const isPassedOn = endpoints.some(({ runs }) => runs.has(id));
        const isSound = shape === pick;
        if (isSound && outcome.kind === 'closed' && outcome.wasKept && isPassedOn) lost.push(id);
        await pause(outcome.kind === 'answer' ? 20 : 200);
      }
      client.close();
    };
    const names = (count, kind) => [...Array(count).keys()].map((at) => `${kind}-${at + 1}`);
    await Promise.all([
      ...names(PICKERS, 'picker').map((name) => act(name, pick)),
      ...names(SHEET_READERS, 'reader').map((name) => act(name, sheet)),
    ]);
    for (const id of lost)
      record.line(`lost: ${id} ran at a sound endpoint; its kept connection was closed without an answer`);
    const ends = deployment.sidecars.map(({ name, ownEnds }) => `${name} ${ownEnds}`).join(', ');
    record.line(
      `result: ${sent} sent, ${spoiledCount} answers spoiled, ${lost.length} lost (${ALLOWED} allowed); ` +
        `processes that ended by themselves: ${ends}`,
    );
    return lost.length > ALLOWED;
  },
);
