/** Names of back-end incarnations are unique and contain the id. */
import test from 'ava';
import { idOfIncarnation, incarnationName, type BackendIncarnation } from '../../src/model/backend-life.js';

const INCARNATIONS: readonly BackendIncarnation[] = [
  { id: 'one', bornMs: null },
  { id: 'one', bornMs: 1 },
  { id: 'one', bornMs: 2 },
  { id: 'one@1', bornMs: null },
  { id: 'one@1', bornMs: 1 },
  { id: '@', bornMs: null },
];

test('incarnations have different names, and each name yields the id', (t) => {
  t.is(new Set(INCARNATIONS.map(incarnationName)).size, INCARNATIONS.length);
  for (const incarnation of INCARNATIONS) t.is(idOfIncarnation(incarnationName(incarnation)), incarnation.id);
});
