/** A plan that differed between two runs of its seed would make a failure impossible to play again. */
import test from 'ava';
import { changeBody, routesAfter, type OperatorChange } from '../../../../lab/soak/changes/change-content.js';
import { CHANGE_PROFILES, planChangeSoak } from '../../../../lab/soak/changes/change-plan.js';

const SIZE = { directories: null, sidecars: 3 };
const SEEDS = Array.from({ length: 60 }, (_, at) => at + 1);

test('a seed gives the same plan each time, and other seeds give others', (t) => {
  const plans = SEEDS.map((seed) => JSON.stringify(planChangeSoak(seed, SIZE)));
  t.deepEqual(
    SEEDS.map((seed) => JSON.stringify(planChangeSoak(seed, SIZE))),
    plans,
  );
  t.is(new Set(plans).size, plans.length);
});

test('plans have every profile, and 3 to 7 directories of which a majority outlives the tolerated losses', (t) => {
  const plans = SEEDS.map((seed) => planChangeSoak(seed, SIZE));
  for (const known of CHANGE_PROFILES) t.true(plans.some(({ profile }) => profile === known));
  for (const { fleet } of plans) {
    t.true(fleet.directories.length >= 3 && fleet.directories.length <= 7);
    t.true(fleet.toleratedLosses >= 1 && fleet.directories.length > 2 * fleet.toleratedLosses);
  }
});

test('troubles of a series follow each other', (t) => {
  for (const seed of SEEDS) {
    for (const series of planChangeSoak(seed, SIZE).series) {
      let endChange = 0;
      for (const { fromChange, changes } of series) {
        t.true(fromChange >= endChange);
        endChange = fromChange + changes;
      }
    }
  }
});

const PUT: OperatorChange = { method: 'PUT', version: 4, base: 3, routes: 5, seed: 9, invalid: null };
const PATCH: OperatorChange = { method: 'PATCH', version: 7, base: 4, routes: 2, seed: 10, invalid: null };

interface Body {
  readonly version: number;
  readonly routes?: Record<string, { path_prefix: string; service: string }>;
  readonly upsert?: { routes: Record<string, { path_prefix: string }> };
  readonly remove?: { routes: string[] };
}

test('the routes that the judge expects are those of the bodies', (t) => {
  const put = JSON.parse(changeBody(PUT)) as Body;
  const routes = routesAfter(new Map([['route-of-an-earlier-version', '/']]), PUT);
  const sent = Object.entries(put.routes ?? {}).map(([name, route]) => [name, route.path_prefix] as const);
  t.deepEqual(new Map(routes), new Map(sent));
  const patch = JSON.parse(changeBody(PATCH)) as Body;
  const patched = routesAfter(routes, PATCH);
  for (const [name, route] of Object.entries(patch.upsert?.routes ?? {}))
    t.is(patched.get(name), route.path_prefix);
  for (const name of patch.remove?.routes ?? []) t.false(patched.has(name));
  t.is(patched.get('marker'), '/v7/');
});

test('an invalid change is invalid in its own way only', (t) => {
  const body = (invalid: OperatorChange['invalid']): Body => {
    return JSON.parse(changeBody({ ...PUT, invalid })) as Body;
  };
  t.is(body('version-not-above').version, PUT.base);
  t.is(body('unknown-service').routes?.['marker']?.service, 'nowhere');
  t.is(body('not-a-route').routes?.['marker']?.path_prefix, 'v4/');
  t.throws(() => body('not-json'));
});
