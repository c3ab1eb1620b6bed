import test from 'ava';
import { configurationSchema } from '../../src/config/configuration.js';
import { controlSettingsSchema } from '../../src/config/daemon-settings.js';
import { formatProblem, parseYaml } from '../../src/config/yaml-file.js';

const VALID = `version: 1
services:
  stock:
    division: keyed
    key: { from: path, segment: 1 }
    shards: 8
    slots: 6
    connections: 130
    backends:
      one: { zone: a, address: { host: 10.0.0.1, port: 80 } }
`;

function problems(text: string): string[] {
  const parsed = parseYaml('file.yaml', text, configurationSchema);
  return parsed.ok ? [] : parsed.val.map((problem) => formatProblem(problem));
}

test('a valid file is accepted', (t) => {
  t.deepEqual(problems(VALID), []);
});

test('all problems are reported together, each with its line, its field, the value found and the values allowed', (t) => {
  const text = VALID.replace('shards: 8', 'shards: many').replace('slots: 6', 'slots: 0\n    colour: red');
  const found = problems(text);
  t.is(found.length, 3);
  t.true(found.some((line) => line.startsWith('file.yaml:6: services.stock.shards: found "many"')));
  t.true(found.some((line) => line.startsWith('file.yaml:7: services.stock.slots: found 0')));
  t.true(found.some((line) => line === 'file.yaml:8: services.stock.colour: found "red"; unknown field'));
});

const INVALID: readonly [string, string, RegExp][] = [
  ['not YAML', 'a: [', /file\.yaml:\d+/],
  ['a tab for indentation', 'version: 1\n\tservices: {}', /file\.yaml:2/],
  ['no key for a keyed service', VALID.replace(/ +key:.*\n/, ''), /services\.stock\.key.*needs `key`/],
  ['a host name instead of an address', VALID.replace('10.0.0.1', 'example'), /address\.host/],
  ['an empty file', '', /file\.yaml:1/],
];

for (const [name, text, expected] of INVALID) {
  test(`invalid file: ${name}`, (t) => {
    t.regex(problems(text).join('\n'), expected);
  });
}

test('settings of a control replica must name it among the members', (t) => {
  const settings = `name: c1
zone: z
tokenFile: token
dataFolder: data
listen: { host: 127.0.0.1, port: 1 }
operator: { host: 127.0.0.1, port: 2 }
members: [{ name: c2, address: { host: 127.0.0.1, port: 1 } }]
timing: { electionTimeoutMs: 100, heartbeatMs: 100 }
`;
  const parsed = parseYaml('c.yaml', settings, controlSettingsSchema);
  t.true(parsed.err);
  const text = parsed.ok ? '' : parsed.val.map((problem) => formatProblem(problem)).join('\n');
  t.regex(text, /must contain this replica itself/);
  t.regex(text, /at least three times heartbeatMs/);
});
