/** A back end that starts again under the instance that it had is another life. */
import test from 'ava';
import { holderAnswerSchema, holderLife } from '../../src/backend-contract/grant-messages.js';

const ANSWER = { instance: 'one', load: [], inFlight: 0 };

test('another start under the same instance is another life', (t) => {
  const first = holderAnswerSchema.parse({ ...ANSWER, bornMs: 1 });
  const second = holderAnswerSchema.parse({ ...ANSWER, bornMs: 2 });
  t.not(holderLife(first), holderLife(second));
  t.is(holderLife(first), holderLife(holderAnswerSchema.parse({ ...ANSWER, bornMs: 1, inFlight: 3 })));
});

test('a back end that does not say when it started is told by its instance alone', (t) => {
  const life = holderLife(holderAnswerSchema.parse(ANSWER));
  t.is(life, holderLife(holderAnswerSchema.parse(ANSWER)));
  t.not(life, holderLife(holderAnswerSchema.parse({ ...ANSWER, instance: 'two' })));
});

for (const bornMs of ['1', 1.5, null]) {
  test(`a start that is no whole number is not taken: ${String(bornMs)}`, (t) => {
    t.false(holderAnswerSchema.safeParse({ ...ANSWER, bornMs }).success);
  });
}
