#!/usr/bin/env bash
# Fails when a name of the users' platform stands outside platform/ and deploy/.
set -euo pipefail
cd "$(dirname "$0")/.."
names='\bCredential\b|Response-Stamp|Not-Executed|Expect-Instance|Token-Counts|Prompt-Prefix|Request-Priority|Weight-Versions|Instance-Id|Kv-|Pin-Ms|rows-tx|rows-get|rows-feed|blob-put|/-/|if_revision|max_attempts_|cold_remaining|weights_mb|adapter_mb|loads_per_s\b|hostname|route_type|session_affinity|gap_aim|api_keys|plain_tokens|TARRAGONQUAY_CONFIG'
if git grep -nE "$names" -- 'src/*.?pp' 'src/*.ipp' 'standins/*.?pp' 'load/*.?pp' \
    'experiment/*.?pp' ':!standins/http_platform*'; then
    echo "check_platform_names: names of the platform outside platform/" >&2
    exit 1
fi
echo "platform names: ok"
