/**
 * Tests the path of requests on the lowest version of Node that package.json names and on a current one: the tests of
 * answers, and a soak of real processes. The versions are npm packages; their folder is apart from the product's, because
 * their `node` command would replace that of every npm script.
 */
import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';

const FOLDER = '.ci/runtimes';
const NAMES = ['lowest', 'current'];
const ANSWER_TESTS = ['dist/test/incidents/answers-*.test.js', 'dist/test/fuzz/answers.test.js'];
const SOAK = ['bin/aldertide-lab.mjs', 'soak', '--seed', '1', '--count', '1', '--jobs', '1'];

run('npm', ['ci', '--prefix', FOLDER, '--ignore-scripts', '--no-audit', '--no-fund', '--silent']);
const [lowest] = JSON.parse(readFileSync('package.json', 'utf8')).engines.node.match(/\d+\.\d+/);
for (const name of NAMES) {
  const node = `${FOLDER}/node_modules/${name}-${process.platform}-${process.arch}/bin/node`;
  const version = spawnSync(node, ['--version'], { encoding: 'utf8' }).stdout?.trim();
  if (version === undefined || (name === 'lowest' && !version.startsWith(`v${lowest}.0`))) {
    console.error(`${node} is ${version ?? 'missing'}; package.json names ${lowest} as the lowest version`);
    process.exit(1);
  }
  console.log(`the path of requests on Node ${version}`);
  run(node, ['node_modules/ava/entrypoints/cli.mjs', ...ANSWER_TESTS]);
  run(node, SOAK);
}

function run(command, args) {
  const { status } = spawnSync(command, args, { stdio: 'inherit' });
  if (status !== 0) process.exit(status ?? 1);
}
