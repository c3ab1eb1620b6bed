import test from 'ava';
import { stringify } from 'devalue';
import fc from 'fast-check';
import { isJsonText, readText, writeText } from '../../src/model/value-text.js';

test('objects are restored unchanged, and plain ones are written as JSON', (t) => {
  const objects = fc.dictionary(fc.string(), fc.jsonValue(), { noNullPrototype: true });
  const property = fc.property(objects, (value) => {
    t.deepEqual(readText(writeText(value)), value);
  });
  t.notThrows(() => {
    fc.assert(property, { seed: 1 });
  });
  t.true(isJsonText(writeText({ index: 1, list: [null, 'x', { deep: true }], missing: undefined })));
});

test('values that JSON cannot represent are restored unchanged', (t) => {
  const values = [
    { cells: Uint32Array.from([1, 2]) },
    { nothing: Number.NaN },
    { endless: [Infinity] },
    { negative: -0 },
    { list: [undefined, 1] },
    { table: new Map([['key', 1]]) },
    [{ kind: 'list' }],
    'text',
    7,
    null,
  ];
  for (const value of values) {
    const text = writeText(value);
    t.false(isJsonText(text), text);
    t.deepEqual(readText(text), value);
  }
});

test('records written by earlier versions are read', (t) => {
  const entry = { index: 3, term: 1, payload: { kind: 'command', proposalId: 'a', command: { kind: 'x' } } };
  t.deepEqual(readText(stringify(entry)), entry);
});
