/** Works out who is in a hollow fleet: names, zones, addresses, services, host processes. */
import { randomBytes } from 'node:crypto';
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { stringify } from 'yaml';
import type { ConfigurationDocument } from '../../src/config/configuration.js';
import { configurationSchema } from '../../src/config/configuration.js';
import type { NamedAddress } from '../../src/config/daemon-settings.js';
import type { SocketAddress } from '../../src/model/socket-address.js';
import { findFreePorts } from '../fleet/ports.js';
import type { HollowAgent, HollowHostSettings, HollowOptions, HollowRouter } from './hollow-options.js';

const CONTROL_REPLICAS = 7;
const ZONES = 12;
const SERVICES = 12;
const SESSION_TERM_MS = 1_500;
const AGENTS_PER_HOST = 70;
const ROUTERS_PER_HOST = 45;

/** Requests a second of the whole fleet at the size of letter 1, over its shards. */
const REQUESTS_PER_SHARD = 10_000_000 / 120_000;

/** A control replica to start. */
export interface PlannedControl {
  readonly name: string;
  readonly settingsFile: string;
  readonly operator: SocketAddress;
}

/** A whole hollow fleet. */
export interface HollowPlan {
  readonly token: string;
  readonly control: readonly PlannedControl[];
  readonly hosts: readonly HollowHostSettings[];
  readonly agents: readonly HollowAgent[];
  readonly routers: readonly HollowRouter[];
  readonly document: ConfigurationDocument;
}

/** Plans a fleet and writes the settings of its control replicas. */
export async function planHollow(options: HollowOptions): Promise<HollowPlan> {
  mkdirSync(options.folder, { recursive: true });
  const token = randomBytes(24).toString('hex');
  const tokenFile = join(options.folder, 'token');
  writeFileSync(tokenFile, `${token}\n`, { mode: 0o600 });
  const others = options.daemons - CONTROL_REPLICAS;
  const agentCount = Math.ceil(others / 2);
  const ports = await findFreePorts(CONTROL_REPLICAS * 2 + agentCount);
  const take = (): SocketAddress => {
    const port = ports.pop();
    if (port === undefined) throw new Error('invariant broken: more ports are needed than were counted');
    return port;
  };
  const members = planMembers(take);
  const control = members.map((member) => writeControl(options.folder, member, members, tokenFile, take()));
  const agents = Array.from({ length: agentCount }, (_, at) => planAgent(at, take()));
  const routers = Array.from({ length: others - agentCount }, (_, at) => planRouter(at));
  const shared = {
    token,
    control: members,
    renewIntervalMs: SESSION_TERM_MS / 4,
    seed: options.seed,
    requestsPerShard: REQUESTS_PER_SHARD,
  };
  const hosts = [
    ...inGroups(agents, AGENTS_PER_HOST).map((group) => ({ ...shared, agents: group, routers: [] })),
    ...inGroups(routers, ROUTERS_PER_HOST).map((group) => ({ ...shared, agents: [], routers: group })),
  ];
  return { token, control, hosts, agents, routers, document: planDocument(agents, options.shards) };
}

function planMembers(take: () => SocketAddress): NamedAddress[] {
  return Array.from({ length: CONTROL_REPLICAS }, (_, at) => ({
    name: `control-${at + 1}`,
    address: take(),
  }));
}

function writeControl(
  folder: string,
  member: NamedAddress,
  members: readonly NamedAddress[],
  tokenFile: string,
  operator: SocketAddress,
): PlannedControl {
  const settingsFile = join(folder, `${member.name}.yaml`);
  const settings = {
    name: member.name,
    zone: 'zone-1',
    tokenFile,
    dataFolder: join(folder, `${member.name}-data`),
    listen: member.address,
    operator,
    members,
    timing: { sessionTermMs: SESSION_TERM_MS },
  };
  writeFileSync(settingsFile, stringify(settings));
  return { name: member.name, settingsFile, operator };
}

function planAgent(at: number, listen: SocketAddress): HollowAgent {
  const service = `service-${(at % SERVICES) + 1}`;
  const backend = `backend-${at + 1}`;
  return { name: `agent-${at + 1}`, zone: zoneOf(at), service, backend, listen };
}

function planRouter(at: number): HollowRouter {
  return { name: `router-${at + 1}`, zone: zoneOf(at) };
}

function zoneOf(at: number): string {
  return `zone-${(Math.floor(at / SERVICES) % ZONES) + 1}`;
}

function planDocument(agents: readonly HollowAgent[], shards: number): ConfigurationDocument {
  const services: Record<string, unknown> = {};
  for (const name of new Set(agents.map(({ service }) => service))) {
    const own = agents.filter(({ service }) => service === name);
    services[name] = {
      division: 'keyed',
      key: { from: 'path', segment: 0 },
      shards: Math.floor(shards / SERVICES),
      slots: 6,
      connections: 130,
      placement: { toleratedImbalance: 1.1, maxMovesPerMinute: 60 },
      backends: Object.fromEntries(
        own.map(({ backend, zone, listen }) => [backend, { zone, address: listen }]),
      ),
    };
  }
  return configurationSchema.parse({ version: 1, services });
}

function inGroups<T>(items: readonly T[], size: number): T[][] {
  const groups: T[][] = [];
  for (let at = 0; at < items.length; at += size) groups.push(items.slice(at, at + size));
  return groups;
}
