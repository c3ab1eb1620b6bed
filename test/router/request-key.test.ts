import test from 'ava';
import { configurationSchema, type ServiceConfiguration } from '../../src/config/configuration.js';
import { deadlineBudgetMs, isRepeatable, parsePath, requestKey } from '../../src/router/request-key.js';
import { createRefusal, refusalResponse, type RefusalCode } from '../../src/router/refusal.js';

function service(endpoints: unknown[] = []): ServiceConfiguration {
  const document = configurationSchema.parse({
    version: 1,
    services: { s: { division: 'spread', shards: 1, slots: 1, connections: 1, endpoints, backends: {} } },
  });
  const found = document.services['s'];
  if (found === undefined) throw new Error('no service');
  return found;
}

const KEY_CASES = [
  { source: { from: 'path', segment: 1 }, url: '/stock/items/a%20b?x=1', key: 'a b' },
  { source: { from: 'path', segment: 1 }, url: '/stock/items', key: null },
  { source: { from: 'path', segment: 0 }, url: '/stock/%E0%A4%A', key: null },
  { source: { from: 'query', name: 'shop' }, url: '/stock/items?shop=7&y', key: '7' },
  { source: { from: 'query', name: 'shop' }, url: '/stock/items', key: null },
  { source: { from: 'header', name: 'X-Shop' }, url: '/stock', key: 'nine' },
] as const;

for (const { source, url, key } of KEY_CASES) {
  test(`key of ${url} from ${JSON.stringify(source)}`, (t) => {
    t.is(requestKey(source, parsePath(url), { 'x-shop': 'nine' }), key);
  });
}

test('the method decides whether a request is repeatable, unless an endpoint rule matches; the longest match wins', (t) => {
  const configured = service([
    { method: 'POST', path: '/search', repeatable: true },
    { method: 'POST', path: '/search/save', repeatable: false },
    { method: 'GET', path: '/next', repeatable: false },
  ]);
  t.true(isRepeatable(configured, 'GET', '/items/1'));
  t.false(isRepeatable(configured, 'POST', '/items/1'));
  t.true(isRepeatable(configured, 'POST', '/search/1'));
  t.false(isRepeatable(configured, 'POST', '/search/save/1'));
  t.false(isRepeatable(configured, 'GET', '/next'));
});

test("a caller's deadline can only shorten the deadline of the service", (t) => {
  const limit = service().deadlineMs;
  for (const [header, expected] of [
    ['100', 100],
    [String(limit * 5), limit],
    ['-1', limit],
    ['soon', limit],
  ] as const) {
    t.is(deadlineBudgetMs(service(), { 'aldertide-deadline-ms': header }), expected);
  }
});

const REFUSALS: readonly [RefusalCode, number, 'not-run' | 'unknown'][] = [
  ['malformed-request', 400, 'not-run'],
  ['unknown-service', 404, 'not-run'],
  ['no-owner', 503, 'not-run'],
  ['overloaded', 503, 'not-run'],
  ['outcome-unknown', 504, 'unknown'],
  ['freshness-unproven', 409, 'unknown'],
];

for (const [code, status, outcome] of REFUSALS) {
  test(`refusal ${code} carries its outcome and the retry-after time`, (t) => {
    const response = refusalResponse(createRefusal(code, 'why', 1_200));
    t.is(response.status, status);
    t.like(response.headers, {
      'aldertide-outcome': outcome,
      'retry-after': '2',
      'aldertide-retry-after-ms': '1200',
    });
    t.like(JSON.parse(response.body), { outcome, detail: 'why', retryAfterMs: 1_200 });
  });
}
