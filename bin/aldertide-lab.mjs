#!/usr/bin/env node
import '../dist/lab/cli/main.js';
