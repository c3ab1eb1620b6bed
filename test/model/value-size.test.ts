import test from 'ava';
import fc from 'fast-check';
import { valueBytes } from '../../src/model/value-size.js';

test('the estimate is within a factor of eight of the size as JSON', (t) => {
  fc.assert(
    fc.property(fc.jsonValue(), (value) => {
      const bytes = Buffer.byteLength(JSON.stringify(value));
      const estimate = valueBytes(value);
      return estimate <= bytes * 8 && estimate * 8 >= bytes;
    }),
  );
  t.pass();
});
