/** How the headers by which a back end names a request limit and its leave are read. */
import test from 'ava';
import { readSignals } from '../../src/sidecar/backend-signals.js';
import { DEFAULT_HEADER_DIALECT } from '../../src/sidecar/header-dialect.js';

const { requestLimit, leaving } = DEFAULT_HEADER_DIALECT;

const LIMITS: readonly (readonly [readonly string[], number | 'none' | 'unreadable'])[] = [
  [[], 'none'],
  [['4'], 4],
  [['2.5'], 2.5],
  [['0'], 0],
  [['0.25'], 0.25],
  [[' 12 '], 12],
  [['4', '3'], 3],
  [['4, 2.5'], 2.5],
  [['4, many'], 4],
  [[''], 'unreadable'],
  [['-1'], 'unreadable'],
  [['1e9'], 'unreadable'],
  [['many'], 'unreadable'],
  [['Infinity'], 'unreadable'],
  [['NaN'], 'unreadable'],
  [['4 requests'], 'unreadable'],
];

for (const [values, expected] of LIMITS) {
  test(`limit header: ${JSON.stringify(values)}`, (t) => {
    const { limit } = readSignals(
      values.flatMap((value) => [requestLimit, value]),
      DEFAULT_HEADER_DIALECT,
    );
    t.is(limit.kind === 'limited' ? limit.requestsPerSecond : limit.kind, expected);
  });
}

for (const [value, expected] of [
  ['1', true],
  ['0', false],
  ['true', true],
  ['', true],
] as const) {
  test(`leave header: ${JSON.stringify(value)}`, (t) => {
    t.is(readSignals([leaving, value], DEFAULT_HEADER_DIALECT).leaving, expected);
  });
}

test('without a leave header the back end does not leave', (t) => {
  t.false(readSignals(['content-length', '0'], DEFAULT_HEADER_DIALECT).leaving);
});
