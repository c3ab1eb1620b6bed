/** Damaged calls of an operator: each is applied or refused, and what is in force after it can be read and routed by. */
import test from 'ava';
import { Random } from '../../lab/random.js';
import { renderConfiguration } from '../../platform/configuration-items.js';
import { readCommand } from '../../platform/operator-calls.js';
import { applyDirectoryCommand } from '../../src/directory/directory-machine.js';
import { emptyDirectoryState, encodeDirectory } from '../../src/directory/directory-state.js';
import { readNotice } from '../../src/directory/notice-checks.js';
import { DirectoryTable } from '../../src/sidecar/directory-table.js';
import { decodeFrame, encodeCompactFrame, encodeFrame } from '../../src/transport/frame-codec.js';
import { damageBytes, damageJson } from './damage.js';

const CASES = 3_000;
const MAX_TIMER_MS = 2 ** 31 - 1;

const ROUTE = {
  host: 'h.example',
  path_prefix: '/p/',
  route_type: 'safe',
  timeout_s: 1,
  target_latency_s: 0.4,
  priority: 2,
  max_attempts: 2,
  weighted_services: [
    { service: 's', weight: 1 },
    { service: 'u', weight: 2 },
  ],
  version: 3,
};
const SERVICE = {
  health_path: '/health',
  max_connections: 10,
  sharded: true,
  grants: 'invoke',
  cold_start_s: 3,
  cold_per_s: 2,
  version: 3,
};
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 1_000,
  header_timeout_s: 3,
  idle_timeout_s: 15,
  version: 3,
};
const ITEMS = { routes: { r: ROUTE, q: ROUTE }, services: { s: SERVICE, u: SERVICE }, limits: LIMITS };

const CALLS: readonly { method: string; body: unknown; base?: string }[] = [
  { method: 'PUT', body: { version: 3, ...ITEMS }, base: '0' },
  {
    method: 'PATCH',
    body: { version: 3, upsert: ITEMS, remove: { routes: ['r'], services: [] } },
    base: '0',
  },
  { method: 'PATCH', body: { upsert: ITEMS, remove: { routes: [{ name: 'r', version: 4 }], services: [] } } },
];

test('each damaged call is applied or refused', async (t) => {
  const random = new Random(63);
  const counts = { applied: 0, refused: 0 };
  for (let count = 1; count <= CASES; count += 1) {
    const { method, body, base } = random.pick(CALLS);
    const text = JSON.stringify(damageJson(body, random));
    const sent = random.below(4) === 0 ? damageBytes(Buffer.from(text), random).toString() : text;
    const headers = base === undefined ? {} : { 'if-match': base };
    const command = await readCommand({ method, path: '/config', headers, body: sent });
    if (command.err) {
      counts.refused += 1;
      continue;
    }
    counts.applied += 1;
    const state = emptyDirectoryState();
    applyDirectoryCommand(state, command.val, 1);
    t.notThrows(() => JSON.parse(renderConfiguration(state, true)) as unknown, `case ${count}: ${sent}`);
    const table = new DirectoryTable();
    const sentNotice = { kind: 'table', index: 1, table: encodeDirectory(state) };
    for (const frame of [encodeFrame(sentNotice), encodeCompactFrame(sentNotice)]) {
      const notice = readNotice(decodeFrame(frame).unwrap());
      if (notice?.kind !== 'table') {
        t.fail(`case ${count}: the table is not readable: ${sent}`);
        return;
      }
      table.replace(1, notice.table);
    }
    for (const host of ['h.example', 'x', '']) table.routes.find(host, '/p/x')?.nextService();
    const { headerTimeoutMs, idleTimeoutMs } = table.limits;
    t.true(headerTimeoutMs <= MAX_TIMER_MS && idleTimeoutMs <= MAX_TIMER_MS, `case ${count}: ${sent}`);
  }
  t.log(counts);
  t.true(counts.applied > CASES / 10 && counts.refused > CASES / 10);
});
