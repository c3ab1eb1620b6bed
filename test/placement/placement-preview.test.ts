import test from 'ava';
import { configurationSchema, type ConfigurationDocument } from '../../src/config/configuration.js';
import { emptyShardRow } from '../../src/model/shard.js';
import { previewPlacement, type PreviewState } from '../../src/placement/placement-preview.js';

const SHARDS = 120;

function document(backends: readonly string[], placement: object = {}): ConfigurationDocument {
  const service = {
    division: 'keyed',
    key: { from: 'path', segment: 0 },
    shards: SHARDS,
    slots: 6,
    connections: 130,
    placement,
    backends: Object.fromEntries(
      backends.map((name, at) => [name, { zone: 'z', address: { host: '10.0.0.1', port: at + 1 } }]),
    ),
  };
  return configurationSchema.parse({ version: 1, services: { stock: service } });
}

const PRESENT = ['one', 'two', 'three'];

const STATE: PreviewState = {
  configuration: { revision: 4, document: document(PRESENT) },
  sessions: PRESENT.map((backend) => ({ backend, service: 'stock' })),
  draining: [],
  shards: [
    {
      service: 'stock',
      rows: Array.from({ length: SHARDS }, (_, shard) => {
        return { ...emptyShardRow(shard), epoch: 1, owner: PRESENT[shard % 3] ?? null, session: 1 };
      }),
    },
  ],
  loads: [{ service: 'stock', rates: [[0, 30]] }],
};

test('an added back end receives at most its fair share plus 10%', (t) => {
  const [preview] = previewPlacement(STATE, document([...PRESENT, 'four'], { toleratedImbalance: 1 }));
  t.like(preview, { service: 'stock', change: 'changed', assignments: 0 });
  t.true((preview?.churn ?? 0) <= (SHARDS / 4) * 1.1);
  t.true((preview?.imbalanceAfter ?? 9) <= 1.1);
  t.true(preview?.moves.every(({ to }) => to === 'four'));
});

test('a removed back end is drained', (t) => {
  const [preview] = previewPlacement(STATE, document(['one', 'two']));
  t.is(preview?.moves.filter(({ from }) => from === 'three').length, SHARDS / 3);
  t.false(preview?.moves.some(({ to }) => to === 'three'));
});

test('moves that balancing would make anyway are counted apart from those of the change', (t) => {
  const [same] = previewPlacement(STATE, document(PRESENT));
  t.is(same?.change, 'unchanged');
  t.is(same?.churn, same?.churnWithoutChange);
  const [tolerant] = previewPlacement(STATE, document(PRESENT, { toleratedImbalance: 2 }));
  t.like(tolerant, { churn: 0, churnWithoutChange: same?.churn });
});

test('added and removed services are reported', (t) => {
  const empty: PreviewState = {
    ...STATE,
    configuration: { revision: 0, document: { version: 1, services: {} } },
  };
  t.is(previewPlacement({ ...empty, shards: [] }, document(PRESENT))[0]?.change, 'added');
  t.is(previewPlacement(STATE, { version: 1, services: {} })[0]?.change, 'removed');
});
