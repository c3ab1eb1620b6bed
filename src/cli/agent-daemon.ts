/** `aldertide agent`: maintains the session of one back end, and serves health and metrics. */
import 'reflect-metadata';
import { Module } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import { FastifyAdapter, type NestFastifyApplication } from '@nestjs/platform-fastify';
import type { Registry } from 'prom-client';
import { AgentNode } from '../agent/agent-node.js';
import type { AgentSettings } from '../config/daemon-settings.js';
import { Err, Ok, type Result } from '../result.js';
import type { Logger } from '../telemetry/logger.js';
import { managementModule } from '../telemetry/management.js';
import { createRegistry, exposeValue } from '../telemetry/metrics.js';
import type { RunningDaemon } from './daemon-command.js';

@Module({})
class AgentModule {}

/** Starts an agent with its management interface. */
export async function startAgent(
  settings: AgentSettings,
  token: string,
  logger: Logger,
): Promise<Result<RunningDaemon, string>> {
  const node = await AgentNode.start(settings, token, logger);
  if (node.err) return node;
  const registry = createRegistry();
  exposeAgent(registry, node.val);
  const notReady = (): string | null =>
    node.val.ready ? null : 'no open session or the back end does not answer';
  const root = { module: AgentModule, imports: [managementModule({ registry, notReady })] };
  const application = await NestFactory.create<NestFastifyApplication>(root, new FastifyAdapter(), {
    logger: false,
  });
  const { host, port } = settings.management;
  try {
    await application.listen(port, host);
  } catch (error) {
    return Err(`cannot listen on ${host}:${port}: ${error instanceof Error ? error.message : String(error)}`);
  }
  const stop = async (): Promise<void> => {
    await node.val.stop();
    await application.close();
  };
  return Ok({ stop });
}

function exposeAgent(registry: Registry, node: AgentNode): void {
  const { counters, grants } = node;
  exposeValue(registry, 'session_open', '1 while a session is open', () => Number(node.session !== null));
  exposeValue(registry, 'shards_granted', 'Shards granted to the back end', () => grants.grantedShards.size);
  exposeValue(registry, 'sessions_opened', 'Sessions opened', () => counters.sessionsOpened);
  exposeValue(registry, 'session_renewals', 'Renewals answered', () => counters.renewals);
  exposeValue(registry, 'handovers_done', 'Shards handed over', () => grants.counters.handoversDone);
  exposeValue(registry, 'handovers_refused', 'Moves refused', () => grants.counters.handoversRefused);
  exposeValue(
    registry,
    'longest_release_ms',
    'Longest release of a shard',
    () => grants.counters.longestReleaseMs,
  );
  exposeValue(registry, 'control_bytes_sent', 'Bytes to control', () => node.traffic().bytesSent);
  exposeValue(registry, 'control_bytes_received', 'Bytes from control', () => node.traffic().bytesReceived);
  exposeValue(registry, 'configuration_revision', 'Configuration in force', () => node.table.revision);
}
