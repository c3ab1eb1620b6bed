/**
 * Guards against bodies that are within the limit in bytes and take many times as much memory once they are parsed: the directory must
 * answer them within its heap, and neither answer nor log a fault that is larger than the body.
 */
import { Worker } from 'node:worker_threads';
import test from 'ava';
import { OperatorCalls } from '../../platform/operator-calls.js';
import { emptyDirectoryState } from '../../src/directory/directory-state.js';
import { Ok } from '../../src/result.js';

/** Heap of a directory, and the size of a change on a machine of 346 MB. */
const HEAP_MB = 160;
const CHANGE_BYTES = 5_200_000;

/** Largest fault in an answer, in characters. */
const MAX_FAULT_CHARACTERS = 4_096;

const BODIES: Readonly<Record<string, (bytes: number) => string>> = {
  'names that are numbers': (bytes) => `{"version":2,"remove":{"routes":[${'1,'.repeat(bytes / 2)}1]}}`,
  'empty objects': (bytes) => `{"version":2,"upsert":{"routes":{"a":[${'{},'.repeat(bytes / 3)}{}]}}}`,
  'empty lists': (bytes) => `{"version":2,"upsert":{"routes":{"a":[${'[],'.repeat(bytes / 3)}[]]}}}`,
  'small services': (bytes) => {
    const services = Array.from({ length: bytes / 14 }, (_, at) => `"s${at}":{}`);
    return `{"version":2,"upsert":{"services":{${services.join()}}}}`;
  },
};

const REPLICA = {
  leading: true,
  leaderElsewhere: null,
  configurationVersion: 0,
  hasAccepted: () => false,
  propose: () => Promise.resolve(Ok({ kind: 'done' } as const)),
  readState: () => Promise.resolve(Ok(emptyDirectoryState())),
};

/** Program of a thread that handles one call and posts the status of the answer. */
function program(name: string): string {
  const platform = new URL('../../platform/operator-calls.js', import.meta.url).href;
  const results = new URL('../../src/result.js', import.meta.url).href;
  return `
    import { parentPort } from 'node:worker_threads';
    import { OperatorCalls } from ${JSON.stringify(platform)};
    import { Ok } from ${JSON.stringify(results)};
    const propose = () => Promise.resolve(Ok({ kind: 'done' }));
    const replica = { leading: true, leaderElsewhere: null, hasAccepted: () => false, propose };
    const { silent, latencies } = { silent: { event: () => undefined }, latencies: { observe: () => undefined } };
    const calls = new OperatorCalls(replica, 1, new Set(), latencies, silent, ${CHANGE_BYTES});
    const body = (${String(BODIES[name])})(${CHANGE_BYTES});
    const headers = { 'if-match': '1' };
    calls.handle({ method: 'PATCH', path: '/config', headers, body }).then(
      ({ status }) => parentPort.postMessage(status),
      (error) => parentPort.postMessage(String(error)),
    );`;
}

for (const name of Object.keys(BODIES)) {
  test.serial(`a change of many ${name} is answered within the heap`, async (t) => {
    const url = new URL(`data:text/javascript,${encodeURIComponent(program(name))}`);
    const worker = new Worker(url, { resourceLimits: { maxOldGenerationSizeMb: HEAP_MB } });
    const outcome = await new Promise((resolve) => {
      worker.once('message', resolve);
      worker.once('error', ({ message }) => {
        resolve(message);
      });
    });
    await worker.terminate();
    t.true([200, 400, 413].includes(outcome as number), String(outcome));
  });
}

test('the fault of a change is short, however many it has', async (t) => {
  const headers = { 'if-match': '1' };
  for (const [name, bodyOf] of Object.entries(BODIES)) {
    const call = { method: 'PATCH', path: '/config', headers, body: bodyOf(20_000) };
    const answer = await new OperatorCalls(REPLICA, 8_306, new Set()).handle(call);
    const { length } = JSON.stringify(answer.body);
    t.true(length <= MAX_FAULT_CHARACTERS, `${name}: ${length} characters`);
  }
});
