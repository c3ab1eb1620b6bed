/** Names of lives tell them apart and keep the id. */
import test from 'ava';
import { idOfLife, lifeName, type BackendLife } from '../../src/model/backend-life.js';

const LIVES: readonly BackendLife[] = [
  { id: 'one', bornMs: null },
  { id: 'one', bornMs: 1 },
  { id: 'one', bornMs: 2 },
  { id: 'one@1', bornMs: null },
  { id: 'one@1', bornMs: 1 },
  { id: '@', bornMs: null },
];

test('no two lives share a name, and each name tells the id', (t) => {
  t.is(new Set(LIVES.map(lifeName)).size, LIVES.length);
  for (const life of LIVES) t.is(idOfLife(lifeName(life)), life.id);
});
