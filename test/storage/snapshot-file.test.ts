/** Guards against snapshots that are in memory as a whole while they are written or sent. */
import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { jsonPieces } from '../../src/model/json-pieces.js';
import { writeText } from '../../src/model/value-text.js';
import { encodeRecord } from '../../src/storage/record-file.js';
import { ReplicaStorage } from '../../src/storage/replica-storage.js';
import type { SnapshotSource } from '../../src/storage/replica-store.js';

const POSITION = { index: 3, term: 1, membership: { voters: ['a/1'], learners: [] } };

/** Size of a part of a snapshot in the tests, in bytes; it divides none of the contents. */
const PART_BYTES = 7_919;

/** Largest piece of text for a state of many small items, in characters. */
const MAX_PIECE = 300_000;

function items(count: number, length: number): object {
  return {
    items: Array.from({ length: count }, (_, at) => ({
      name: `é"${at}`,
      text: 'x'.repeat(length),
      missing: undefined,
      nested: { list: [1, null, [at], { deep: { deeper: [{ at }] } }], yes: true },
    })),
    none: null,
    empty: {},
    list: [],
  };
}

const STATES: readonly (readonly [string, unknown])[] = [
  ['the empty state', null],
  ['a small state', items(2, 3)],
  ['many items', items(5_000, 200)],
  ['a large item', items(1, 2_000_000)],
  ['typed arrays', { rows: new Uint32Array([1, 2, 3]), items: items(400, 1_000) }],
  ['numbers that JSON lacks', { first: items(300, 1_000), rate: -0, top: Infinity }],
];

async function readAll(source: SnapshotSource): Promise<Buffer> {
  const parts: Buffer[] = [];
  for (let offset = 0; offset < source.bytes; offset += PART_BYTES) {
    parts.push(await source.read(offset, PART_BYTES));
  }
  return Buffer.concat(parts);
}

for (const [name, data] of STATES) {
  test(`a snapshot of ${name} is written as one record, read by parts, and restored`, async (t) => {
    const folder = await mkdtemp(join(tmpdir(), 'aldertide-snapshot-'));
    const storage = (await ReplicaStorage.open(folder, 'a')).unwrap();
    await storage.writeSnapshot(POSITION, data);
    const file = join(folder, 'snapshot');
    t.true((await readFile(file)).equals(encodeRecord({ position: POSITION, data })));
    const source = await storage.openSnapshot();
    t.deepEqual(source.position, POSITION);
    t.is((await readAll(source)).toString(), writeText({ position: POSITION, data }));
    await source.close();
    await storage.close();
    const again = (await ReplicaStorage.open(folder, 'a')).unwrap();
    const reopened = await again.openSnapshot();
    t.is((await readAll(reopened)).toString(), writeText({ position: POSITION, data }));
    await reopened.close();
    await again.close();
    await rm(folder, { recursive: true });
  });
}

test('a snapshot that is being read stays readable when later ones replace it', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'aldertide-snapshot-'));
  const storage = (await ReplicaStorage.open(folder, 'a')).unwrap();
  await storage.writeSnapshot(POSITION, items(300, 500));
  const source = await storage.openSnapshot();
  const start = await source.read(0, PART_BYTES);
  for (let index = 4; index < 7; index += 1) await storage.writeSnapshot({ ...POSITION, index }, { index });
  const whole = await readAll(source);
  t.true(whole.subarray(0, PART_BYTES).equals(start));
  t.is(whole.toString(), writeText({ position: POSITION, data: items(300, 500) }));
  await source.close();
  await source.close();
  const latest = await storage.openSnapshot();
  t.is(latest.position.index, 6);
  await latest.close();
  await storage.close();
  await rm(folder, { recursive: true });
});

test('the text of many items comes in pieces of bounded length', (t) => {
  const value = { position: POSITION, data: items(20_000, 100) };
  const pieces = [...jsonPieces(value)];
  t.is(pieces.join(''), writeText(value));
  t.true(pieces.length > 5);
  t.true(Math.max(...pieces.map((piece) => piece?.length ?? 0)) < MAX_PIECE);
});
